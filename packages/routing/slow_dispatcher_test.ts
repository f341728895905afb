import assert from "node:assert/strict";
import { test } from "node:test";
import { makeServer, TestCluster } from "./test_cluster.ts";

const CALL_INTERVAL_MS = 12;
/** Calls of a service for which entries wait longest for a dispatcher. */
const LONG_MS = 80;
const SHORT_MS = 20;
/** More than entries wait for an answer to a join, and for one to any call. */
const LATE_ANSWERS_MS = [80, 300, 700];

/** An entry with calls, and a dispatcher whose answers take a while. */
class SlowDispatcher {
  readonly cluster: TestCluster;
  readonly #serviceMs: number;
  answerMs: number;
  reports = 0;
  /** When each call came. */
  readonly #cameAt = new Map<string, number>();

  constructor(options: { answerMs: number; serviceMs: number }) {
    this.answerMs = options.answerMs;
    this.#serviceMs = options.serviceMs;
    const servers = ["s1", "s2"].map((id) => makeServer(id, { slots: 6 }));
    this.cluster = new TestCluster({ entries: 2, servers });
    const { dispatcher } = this.cluster;
    this.cluster.delayMs = (from, message) => {
      if (message.kind === "dispatch_report") this.reports += 1;
      return from === dispatcher ? this.answerMs : 1;
    };
  }

  /** Lets calls come to the entry for a time, and end. */
  run(ms: number): void {
    const { cluster } = this;
    const end = cluster.now + ms;
    while (cluster.now < end) {
      if (cluster.now % CALL_INTERVAL_MS === 0) {
        const call = cluster.submit(cluster.otherEntry);
        this.#cameAt.set(call, cluster.now);
      }
      cluster.advance(1);
      this.#finishCalls();
    }
  }

  /** The longest time for which a call had or has to wait for a server. */
  get longestWaitMs(): number {
    const { cluster } = this;
    const began = new Map(
      cluster.assignments.map(({ callId, at }) => [callId, at]),
    );
    const waits = [...this.#cameAt].map(
      ([call, at]) => (began.get(call) ?? cluster.now) - at,
    );
    return Math.max(...waits);
  }

  /** Whether a call that comes now gets its server from the dispatcher. */
  placesByDispatcher(): boolean {
    const { cluster } = this;
    const call = cluster.submit(cluster.otherEntry);
    cluster.advance(5);
    const [decision] = cluster.decisions.get(call) ?? [];
    return decision?.type === "assign" && decision.basis.by !== "local";
  }

  #finishCalls(): void {
    const { cluster } = this;
    for (const { callId, at } of cluster.assignments) {
      const isDone = cluster.now - at >= this.#serviceMs;
      if (!isDone || !cluster.running.has(callId)) continue;
      cluster.finish(callId, { serviceMs: this.#serviceMs });
    }
  }
}

for (const serviceMs of [SHORT_MS, LONG_MS]) {
  for (const answerMs of LATE_ANSWERS_MS) {
    const title = `calls of ${serviceMs} ms, answers after ${answerMs} ms`;
    // Guards against calls that wait for seconds at a dispatcher on a busy host: the
    // answer to a join that was given up ended the one after it.
    test(`no call waits for a dispatcher that answers late: ${title}`, () => {
      const site = new SlowDispatcher({ answerMs, serviceMs });
      site.run(5_000);
      assert.equal(site.longestWaitMs, 0);
    });
  }
}

for (const answerMs of LATE_ANSWERS_MS) {
  // Guards against a dispatcher on a busy host that gets the whole state of each
  // entry 6 times a second because it answers too late.
  test(`a dispatcher that answers after ${answerMs} ms is joined less often`, () => {
    const site = new SlowDispatcher({ answerMs, serviceMs: LONG_MS });
    site.run(5_000);
    assert.ok(site.reports <= 10, `${site.reports} reports in 5 s`);
  });

  // Otherwise entries choose servers without each other for longer than they have to.
  test(`a dispatcher that answered after ${answerMs} ms is joined within a second`, () => {
    const site = new SlowDispatcher({ answerMs, serviceMs: LONG_MS });
    site.run(5_000);
    site.answerMs = 1;
    site.run(1_000);
    assert.ok(site.placesByDispatcher(), "not joined");
  });
}

// Guards against an entry that takes longer to join a new dispatcher because the
// former one did not answer.
test("a new dispatcher is joined at once after one that did not answer", () => {
  const site = new SlowDispatcher({ answerMs: 700, serviceMs: LONG_MS });
  const { cluster } = site;
  site.run(5_000);
  site.answerMs = 1;
  cluster.setView({ ...cluster.view, epoch: 2 });
  site.run(24);
  assert.ok(site.placesByDispatcher(), "not joined");
});
