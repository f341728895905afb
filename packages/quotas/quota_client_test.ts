import assert from "node:assert/strict";
import { test } from "node:test";
import type { QuotaDecision } from "./account.ts";
import { DEFAULT_QUOTA_BOUNDS as bounds, quotaTable } from "./limits.ts";
import type { AskEffect, QuotaGrant, TenantGrant } from "./messages.ts";
import { QuotaClient } from "./quota_client.ts";
import { entryRecord } from "./simulated_entry.ts";

const VIEW = { epoch: 1, began: 0, entries: ["a", "b", "c"].map(entryRecord) };
const TABLE = quotaTable(
  [
    { name: "t", keyHashes: [], ratePerS: 10, burst: 10 },
    { name: "free", keyHashes: [] },
  ],
  bounds,
);
/** After the time in which a new process gives no votes. */
const START = 2_000;

/** A client with decisions of the requests that had to wait. */
class TestClient {
  confirmationAgeMs = 0;
  readonly late: QuotaDecision[] = [];
  readonly client = new QuotaClient({
    bounds,
    startedAt: 0,
    phase: 0.2,
    confirmationAgeMs: () => this.confirmationAgeMs,
  });

  constructor() {
    this.client.configure(TABLE, { view: VIEW }, 0);
  }

  take(now: number): QuotaDecision | undefined {
    return this.client.take("t", now, (late) => this.late.push(late));
  }

  answer(
    { to, ask }: AskEffect,
    options: { now: number; grants?: TenantGrant[]; incarnation?: number },
  ): void {
    const { now, grants = [], incarnation = 1 } = options;
    const stamp = { incarnation, ms: now };
    const grant: QuotaGrant = { sequence: ask.sequence, grants, stamp };
    this.client.receive(to, grant, now);
  }

  /** Sends the one message that is due. */
  flush(now: number): AskEffect {
    const effects = this.client.flush(now);
    assert.equal(effects.length, 1, JSON.stringify(effects));
    return effects[0] as AskEffect;
  }

  /** Meets its owner and votes for it; returns the owner's id. */
  settle(): string {
    this.answer(this.flush(START), { now: START });
    const vote = this.flush(START);
    assert.deepEqual(vote.ask.votes?.shards, [0]);
    this.answer(vote, { now: START });
    return vote.to;
  }

  /** Passes the time for an answer, as the ticks of a process do. */
  tick(from: number, to: number): void {
    for (let now = from; now <= to; now += 10) this.client.tick(now);
  }
}

test("a tenant without a limit costs nothing", () => {
  const { client } = new TestClient();
  const decide = () => assert.fail();
  const decision = client.take("free", START, decide);
  assert.equal(decision?.type, "admitted");
  client.configure(quotaTable(undefined, bounds), { view: VIEW }, START);
  assert.deepEqual(client.flush(START + 1_000), []);
});

test("one question brings the tokens of all requests of a turn", () => {
  const test = new TestClient();
  test.settle();
  for (let i = 0; i < 3; i++) assert.equal(test.take(START + 1), undefined);
  const question = test.flush(START + 1);
  assert.deepEqual(question.ask.asks, [["t", 3]]);
  test.answer(question, { now: START + 2, grants: [["t", 2, 300]] });
  assert.deepEqual(
    test.late.map(({ type }) => type),
    ["admitted", "admitted", "refused"],
  );
  // Refused here until the time that the owner gave.
  assert.equal(test.take(START + 301)?.type, "refused");
  assert.equal(test.take(START + 303), undefined);
});

test("tokens end 250 ms after the question, also those given back", () => {
  const test = new TestClient();
  test.settle();
  test.take(START);
  const question = test.flush(START);
  test.answer(question, { now: START + 20, grants: [["t", 1, 0]] });
  const [admitted] = test.late;
  assert.ok(admitted?.type === "admitted");
  test.client.giveBack("t", admitted.usableUntil, START + 100);
  assert.equal(test.take(START + 249)?.type, "admitted");
  test.client.giveBack("t", admitted.usableUntil, START + 249);
  assert.equal(test.take(START + 250), undefined);
});

test("a late or repeated answer brings no tokens", () => {
  const test = new TestClient();
  test.settle();
  test.take(START);
  const question = test.flush(START);
  test.answer(question, { now: START + 10, grants: [["t", 1, 0]] });
  test.answer(question, { now: START + 10, grants: [["t", 1, 0]] });
  assert.equal(test.take(START + 11), undefined);
  const second = test.flush(START + 11);
  test.answer(second, { now: START + 300, grants: [["t", 1, 0]] });
  assert.equal(test.late.length, 1);
});

// Guards against one vote that two owners count.
test("a silent owner is passed over, and its vote waits until it has ended", () => {
  const test = new TestClient();
  const owner = test.settle();
  test.take(START + 100);
  assert.equal(test.flush(START + 100).to, owner);
  test.tick(START + 110, START + 360);
  const [question] = test.client.flush(START + 360);
  assert.ok(question && question.to !== owner);
  assert.deepEqual(question.ask.asks, [["t", 1]]);
  test.answer(question, { now: START + 361, grants: [["t", 1, 0]] });
  assert.equal(test.late[0]?.type, "admitted");
  for (let now = START + 361; now < START + 1_000; now += 50) {
    for (const effect of test.client.flush(now)) {
      assert.deepEqual(effect.ask.votes?.shards ?? [], []);
      if (effect.to === question.to) test.answer(effect, { now });
    }
  }
});

test("a vote moves at once when its owner confirms that it is withdrawn", () => {
  const test = new TestClient();
  const owner = test.settle();
  const rest = VIEW.entries.filter(({ id }) => id !== owner);
  const view = { ...VIEW, epoch: 2, entries: rest };
  test.client.configure(TABLE, { view }, START + 1);
  const hello = test.flush(START + 1);
  test.answer(hello, { now: START + 2 });
  const withdrawal = test.flush(START + 2);
  assert.equal(withdrawal.to, owner);
  assert.deepEqual(withdrawal.ask.votes?.shards, []);
  test.answer(withdrawal, { now: START + 3 });
  const vote = test.flush(START + 3);
  assert.equal(vote.to, hello.to);
  assert.deepEqual(vote.ask.votes?.shards, [0]);
});

test("an owner that has restarted gets the vote again", () => {
  const test = new TestClient();
  const owner = test.settle();
  const renewal = test.flush(START + 500);
  test.answer(renewal, { now: START + 501, incarnation: 2 });
  const vote = test.flush(START + 501);
  assert.equal(vote.to, owner);
  assert.deepEqual(vote.ask.stamp, { incarnation: 2, ms: START + 501 });
  assert.deepEqual(vote.ask.votes?.shards, [0]);
});

test("an entry that is cut off from control, or has just started, does not vote", () => {
  const test = new TestClient();
  const [first] = test.client.flush(100);
  assert.ok(first);
  test.answer(first, { now: 100 });
  for (const { ask } of test.client.flush(700)) {
    assert.deepEqual(ask.votes?.shards ?? [], []);
  }
  test.confirmationAgeMs = 3_001;
  test.answer(test.flush(START), { now: START });
  assert.equal(test.flush(START + 500).ask.votes, undefined);
});

// Guards against requests that wait for owners until their callers give up.
test("without an owner requests are refused as unavailable", () => {
  const test = new TestClient();
  for (const { id } of VIEW.entries) test.client.unreachable(id, START);
  const decision = test.take(START);
  assert.ok(decision?.type === "unavailable");
  assert.ok(decision.retryAfterMs <= 200);
  const later = new TestClient();
  later.settle();
  later.take(START);
  later.flush(START);
  later.tick(START, START + 450);
  assert.equal(later.late[0]?.type, "unavailable");
});

// Guards against refusals at a small host whose processor was taken from it.
test("after a stall of the process the answers that came are read first", () => {
  const test = new TestClient();
  test.settle();
  test.tick(START - 20, START);
  test.take(START);
  const question = test.flush(START);
  test.client.tick(START + 200);
  assert.equal(test.late.length, 0);
  test.answer(question, { now: START + 201, grants: [["t", 1, 0]] });
  assert.equal(test.late[0]?.type, "admitted");
});

// Guards against keys that are refused for 1.6 s after all hosts have started again,
// although no owner can count a vote of the processes before them.
test("a new process votes once each possible owner has answered it", () => {
  const test = new TestClient();
  for (const effect of test.client.flush(500))
    test.answer(effect, { now: 510 });
  const votes = test.client.flush(511);
  assert.deepEqual(
    votes.map(({ ask }) => ask.votes?.shards),
    [[0]],
  );
});

// Guards against a vote that an owner of a former view still counts for the process
// before this one.
test("a new process waits for an owner of a former view that does not answer", () => {
  const test = new TestClient();
  const entries = [...VIEW.entries, entryRecord("d")];
  const formerViews = [{ epoch: 0, began: 0, entries }];
  test.client.configure(TABLE, { view: VIEW, formerViews }, 400);
  for (let now = 500; now < 1_600; now += 50) {
    for (const effect of test.client.flush(now)) {
      assert.deepEqual(effect.ask.votes?.shards ?? [], []);
      if (effect.to !== "d") test.answer(effect, { now });
    }
  }
  const votes = test.client.flush(1_700).map(({ ask }) => ask.votes?.shards);
  assert.ok(votes.some((shards) => shards?.includes(0)));
});

// Guards against the requests of all tenants that are sent again to owners that answer,
// because one other owner is late.
test("a late owner sends no requests again to the others", () => {
  const tenants = Array.from({ length: 40 }, (_, i) => {
    return { name: `t${i}`, keyHashes: [], ratePerS: 60, burst: 10 };
  });
  const client = new QuotaClient({
    ...{ bounds, startedAt: 0, phase: 0, confirmationAgeMs: () => 0 },
  });
  const entries = ["a", "b", "c", "d", "e", "f"].map(entryRecord);
  const view = { epoch: 1, began: 0, entries };
  client.configure(quotaTable(tenants, bounds), { view }, 0);
  for (let now = START; now < START + 1_000; now += 10) {
    client.tick(now);
    for (const { to, ask } of client.flush(now)) {
      const stamp = { incarnation: 1, ms: now };
      client.receive(to, { sequence: ask.sequence, grants: [], stamp }, now);
    }
  }
  const askedAt = START + 1_000;
  for (const { name } of tenants) client.take(name, askedAt, () => undefined);
  const [late, ...others] = client
    .flush(askedAt)
    .filter(({ ask }) => ask.asks.length > 0);
  assert.ok(late && others.length > 0);
  for (const { to, ask } of others) {
    const stamp = { incarnation: 1, ms: askedAt };
    const grant = { sequence: ask.sequence, grants: [], stamp };
    client.receive(to, grant, askedAt + 10);
  }
  const again: string[] = [];
  for (let now = askedAt + 10; now <= askedAt + 300; now += 10) {
    client.tick(now);
    for (const { ask } of client.flush(now))
      again.push(...ask.asks.map(([name]) => name));
  }
  const lateNames = late.ask.asks.map(([name]) => name);
  assert.ok(
    again.every((name) => lateNames.includes(name)),
    again.join(),
  );
});
