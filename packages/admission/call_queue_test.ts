import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { CallQueue, PATIENT_INTERVAL, type QueuedCall } from "./call_queue.ts";

function call(id: string, options: Partial<QueuedCall> = {}): QueuedCall {
  return { id, priority: "urgent", latestStart: 100, ...options };
}

const PATIENT = { priority: "patient" } as const;

// Guards against patient calls being served first.
test("urgent calls go first, then by latest start, then by arrival", () => {
  const queue = new CallQueue<QueuedCall>(10);
  queue.offer(call("p", { ...PATIENT, latestStart: 1 }));
  queue.offer(call("late", { latestStart: 200 }));
  queue.offer(call("a"));
  queue.offer(call("b"));
  const order = [1, 2, 3, 4].map(() => queue.take()?.id);
  assert.deepEqual(order, ["a", "b", "late", "p"]);
});

// Guards against starvation of patient calls.
test("a patient call waits for a bounded number of urgent ones", () => {
  const queue = new CallQueue<QueuedCall>(100);
  queue.offer(call("p", PATIENT));
  for (let n = 0; n < 50; n++) queue.offer(call(`u${n}`));
  const order = Array.from(
    { length: PATIENT_INTERVAL },
    () => queue.take()?.id,
  );
  assert.equal(order.indexOf("p"), PATIENT_INTERVAL - 1);
});

// Guards against an unbounded queue, and against patient calls that keep urgent
// ones out.
test("a full queue gives a patient call's place to an urgent one", () => {
  const queue = new CallQueue<QueuedCall>(2);
  queue.offer(call("p", PATIENT));
  queue.offer(call("u1"));
  assert.equal(queue.offer(call("p2", PATIENT)).type, "full");
  const offer = queue.offer(call("u2"));
  assert.equal(offer.type === "queued_instead" && offer.evicted.id, "p");
  assert.equal(queue.offer(call("u3")).type, "full");
  assert.equal(queue.length, 2);
});

// Guards against calls that are held past their deadline.
test("expired calls are removed, and only those", () => {
  const queue = new CallQueue<QueuedCall>(10);
  queue.offer(call("a", { latestStart: 5 }));
  queue.offer(call("b", { latestStart: 15 }));
  queue.offer(call("c", { ...PATIENT, latestStart: 7 }));
  const expired = queue.expire(10).map(({ id }) => id);
  assert.deepEqual(expired, ["a", "c"]);
  assert.equal(queue.take()?.id, "b");
});

// Guards against a heap that loses calls or breaks the order after removals.
test("the order holds after random offers and removals", () => {
  const step = fc.record({ id: fc.nat(30), latestStart: fc.nat(50) });
  fc.assert(
    fc.property(fc.array(step), fc.array(fc.nat(30)), (offers, removals) => {
      const queue = new CallQueue<QueuedCall>(100);
      const kept = new Map<string, number>();
      for (const { id, latestStart } of offers) {
        if (!kept.has(`${id}`)) kept.set(`${id}`, latestStart);
        queue.offer(call(`${id}`, { latestStart }));
      }
      for (const id of removals) {
        queue.remove(`${id}`);
        kept.delete(`${id}`);
      }
      const taken: number[] = [];
      for (let next = queue.take(); next; next = queue.take()) {
        taken.push(next.latestStart);
      }
      assert.deepEqual(
        taken,
        [...kept.values()].sort((a, b) => a - b),
      );
    }),
    { seed: 20_261_203 },
  );
});

// Guards against serving by deadline alone, which makes every call late in a
// burst.
test("calls that can meet their objective go before late ones", () => {
  const queue = new CallQueue<QueuedCall>(10);
  const call = (id: string, targetStart: number, priority = "patient") =>
    ({
      id,
      priority,
      latestStart: targetStart + 1_000,
      targetStart,
    }) as QueuedCall;
  queue.offer(call("late", 90));
  queue.offer(call("soon", 120));
  queue.offer(call("later", 400));
  queue.offer(call("late-urgent", 95, "urgent"));
  queue.moveLateCalls(100);
  const order = Array.from({ length: 4 }, () => queue.take()?.id);
  assert.deepEqual(order, ["soon", "later", "late-urgent", "late"]);
});

test("a late call expires at its latest start", () => {
  const queue = new CallQueue<QueuedCall>(10);
  queue.offer({
    id: "a",
    priority: "patient",
    latestStart: 200,
    targetStart: 50,
  });
  assert.deepEqual(queue.expire(150), []);
  assert.deepEqual(
    queue.expire(201).map(({ id }) => id),
    ["a"],
  );
});
