import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { RankedCall } from "./call_order.ts";
import { LOWER_RANK_SHARE, RankedQueue } from "./ranked_queue.ts";

function call(id: string, options: Partial<RankedCall> = {}): RankedCall {
  const rank = options.rank ?? 0;
  const priority = rank === 0 ? "urgent" : "patient";
  const start = { latestStart: 5_000, targetStart: 1_000 };
  return { id, priority, rank, workMs: 100, ...start, ...options };
}

function takeAll(queue: RankedQueue<RankedCall>): string[] {
  const taken: string[] = [];
  for (let next = queue.take(); next; next = queue.take()) taken.push(next.id);
  return taken;
}

// Guards against an order by priority alone, which has only two values.
test("calls on time go before late ones, then by rank and work", () => {
  const queue = new RankedQueue<RankedCall>(10);
  queue.offer(call("late", { targetStart: 5 }));
  queue.offer(call("rank-1", { rank: 1 }));
  queue.offer(call("long", { workMs: 600 }));
  queue.offer(call("short"));
  queue.moveLateCalls(10);
  assert.deepEqual(takeAll(queue), ["short", "long", "rank-1", "late"]);
});

// Guards against calls that a higher rank keeps out for as long as it has work.
test("a lower rank gets its share while a higher one always has calls", () => {
  const queue = new RankedQueue<RankedCall>(10_000);
  let lower = 0;
  for (let n = 0; n < 4_000; n++) {
    for (const rank of [0, 1]) {
      const item = call(`${rank}-${n}`, { rank, targetStart: 90_000 });
      queue.recordOffer(item, n * 10);
      queue.offer(item);
    }
    queue.moveLateCalls(n * 10);
    if (n % 2 === 1 && queue.take()?.rank === 1) lower += 1;
  }
  const share = lower / 2_000;
  assert.ok(share >= 0.9 * LOWER_RANK_SHARE, `${share}`);
  assert.ok(share <= 1.5 * LOWER_RANK_SHARE, `${share}`);
});

// Guards against a tenant whose burst makes the calls of all others late.
test("a tenant with many waiting calls does not go before one with few", () => {
  const queue = new RankedQueue<RankedCall>(1_000);
  const offer = (id: string, tenant: string) => {
    queue.recordOffer(call(id, { tenant }), 0);
    queue.offer(call(id, { tenant }));
  };
  // Both offer alike before.
  queue.recordOffer(call("", { tenant: "b", workMs: 10_000 }), 0);
  for (let n = 0; n < 100; n++) offer(`a${n}`, "a");
  for (let n = 0; n < 5; n++) offer(`b${n}`, "b");
  const order = takeAll(queue);
  const last = Math.max(...[0, 1, 2, 3, 4].map((n) => order.indexOf(`b${n}`)));
  assert.ok(last <= 12, `${last}`);
});

// Guards against a full queue that keeps calls worth less than a new one.
test("a full queue gives up the lowest rank, largest tenant and most work", () => {
  const evictedBy = (present: RankedCall[], item: RankedCall) => {
    const queue = new RankedQueue<RankedCall>(present.length);
    for (const waiting of present) {
      queue.recordOffer(waiting, 0);
      queue.offer(waiting);
    }
    queue.recordOffer(item, 0);
    const offer = queue.offer(item);
    return offer.type === "queued_instead" ? offer.evicted.id : offer.type;
  };
  const a = call("a", { rank: 1, tenant: "x" });
  const b = call("b", { rank: 1, tenant: "x", workMs: 600 });
  const c = call("c", { rank: 1, tenant: "y", workMs: 60 });
  assert.equal(evictedBy([a, b, c], call("new")), "b");
  assert.equal(evictedBy([a, c], call("new", { rank: 2 })), "full");
  assert.equal(evictedBy([call("d")], call("new")), "full");
});

// Guards against heaps and sums that disagree after removals in any order.
test("nothing is lost and no higher rank is evicted for a lower one", () => {
  const step = fc.record({
    id: fc.nat(40),
    rank: fc.nat(3),
    tenant: fc.constantFrom("x", "y", undefined),
    workMs: fc.integer({ min: 1, max: 700 }),
    targetStart: fc.nat(300),
    kind: fc.constantFrom("offer", "offer", "take", "remove", "late"),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const queue = new RankedQueue<RankedCall>(12);
      const kept = new Set<string>();
      for (const [now, { id, kind, ...options }] of steps.entries()) {
        const item = call(`${id}`, options);
        if (kind === "late") queue.moveLateCalls(now * 4);
        if (kind === "take") kept.delete(queue.take()?.id ?? "");
        if (kind === "remove" && queue.remove(`${id}`)) kept.delete(`${id}`);
        if (kind !== "offer") continue;
        queue.recordOffer(item, now);
        const offer = queue.offer(item);
        if (offer.type !== "full") kept.add(item.id);
        if (offer.type !== "queued_instead") continue;
        kept.delete(offer.evicted.id);
        assert.ok((offer.evicted.rank ?? 0) >= options.rank);
      }
      assert.equal(queue.length, kept.size);
      assert.deepEqual(takeAll(queue).sort(), [...kept].sort());
      assert.equal(queue.onTimeWorkMs, 0);
    }),
    { seed: 20_261_205 },
  );
});
