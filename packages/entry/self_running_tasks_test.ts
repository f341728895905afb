import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:net";
import { type TestContext, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { SystemClock, SystemRandomness } from "#model";
import type { Router, RoutingEffect } from "#routing";
import { type Logger, Metrics } from "#telemetry";
import type { Network } from "#wire";
import { ActivityTimer } from "./activity_timer.ts";
import { Assignments } from "./assignments.ts";
import { PathMonitor } from "./path_monitor.ts";
import { PeerConnectionChecks } from "./peer_connection_checks.ts";
import { serverRecord } from "./test_server_record.ts";

const clock = new SystemClock();

/** A logger that keeps the tasks that failed. */
function taskLog() {
  const failed: unknown[] = [];
  const ignore = () => undefined;
  const logger: Logger = {
    error: (message, fields) => {
      if (message === "task failed") failed.push(fields?.task);
    },
    warn: ignore,
    info: ignore,
    debug: ignore,
    trace: ignore,
    with: () => logger,
  };
  return { failed, logger };
}

function failing(): never {
  throw new TypeError("planted");
}

/** Keeps the handlers of messages, and what was sent. */
class StubNetwork {
  readonly handlers = new Map<string, (payload: never, from: never) => void>();
  readonly sent: { kind: string; payload: unknown }[] = [];

  handle(kind: string, handler: (payload: never, from: never) => void): void {
    this.handlers.set(kind, handler);
  }

  send(_to: string, kind: string, payload: unknown): boolean {
    this.sent.push({ kind, payload });
    return true;
  }

  broadcast(): void {}

  get network(): Network<never> {
    return this as unknown as Network<never>;
  }
}

/** Resolves with whether a condition holds within a second. */
async function holds(condition: () => boolean): Promise<boolean> {
  const end = clock.now() + 1_000;
  while (!condition() && clock.now() < end) await delay(5);
  return condition();
}

for (const type of ["check", "probe"] as const) {
  // Guards against an entry that ends as a server can't be asked (an address of
  // another writer did this), and a call that waits for that answer for ever.
  test(`a ${type} that rejects is logged, and counts as failed`, async () => {
    const { failed, logger } = taskLog();
    const results: unknown[] = [];
    const handleResult = (...about: unknown[]): RoutingEffect[] => {
      results.push(about[1]);
      return [];
    };
    const assignments = new Assignments({
      router: {
        handleCheckResult: handleResult,
        handleProbeResult: handleResult,
      } as unknown as Router,
      clock,
      logger,
      network: new StubNetwork().network,
      probe: async () => failing(),
      check: async () => failing(),
      onPeerMessage: () => undefined,
    });
    const server = serverRecord(1);
    assignments.execute([
      type === "probe"
        ? { type, server }
        : ({ type, server, callId: "c-1" } as RoutingEffect),
    ]);
    assert.ok(await holds(() => results.length === 1));
    assert.equal((results[0] as { kind: string }).kind, "failed");
    assert.deepEqual(failed, [type]);
  });
}

// Guards against an entry that ends as it looks for a path to a server, and a
// failed call that waits for the result for ever.
test("a connection check that throws is logged, and has a result", async (t) => {
  const { failed, logger } = taskLog();
  const monitor = new PathMonitor({
    clock,
    randomness: new SystemRandomness(),
    logger,
    metrics: { recordServerRequest: failing } as unknown as Metrics,
    network: new StubNetwork().network,
    onCutOff: () => undefined,
    onChanged: () => undefined,
    onSilent: () => undefined,
  });
  t.after(() => monitor.close());
  const servers = [1, 2, 3].map((port) =>
    serverRecord(port, { id: `w${port}` }),
  );
  monitor.setServers("alloc", servers);
  const judged = monitor.judge(servers[0] ?? failing(), { isSure: true });
  const end = await Promise.race([judged, delay(1_000, "none")]);
  assert.notEqual(end, "none");
  assert.ok(failed.includes("connection_check"));
});

// Guards against an entry that ends as it answers another entry.
test("a check for another entry that fails is answered", async (t) => {
  const port = await listen(t);
  const network = new StubNetwork();
  const { failed, logger } = taskLog();
  let now = 0;
  const failOnce = { now: () => (now++ === 0 ? failing() : clock.now()) };
  new PeerConnectionChecks({
    network: network.network,
    clock: { ...failOnce, wallTime: () => 0 } as never,
    logger,
  });
  const question = { question: 1, host: "127.0.0.1", port };
  const ask = network.handlers.get("quarantine.check") ?? failing();
  ask(question as never, { id: "entry-2" } as never);
  assert.ok(await holds(() => network.sent.length === 1));
  assert.deepEqual(failed, ["peer_connection_check"]);
});

// Guards against an exception in one tick that ends all later ones.
test("ticks go on after one has thrown", async (t) => {
  const { failed, logger } = taskLog();
  let ticks = 0;
  const timer = new ActivityTimer({
    clock,
    logger,
    task: () => {
      ticks++;
      if (ticks === 1) failing();
    },
    busyIntervalMs: () => 1,
  });
  t.after(() => timer.stop());
  timer.start();
  timer.markActive();
  const goesOn = await holds(() => ticks >= 3);
  assert.ok(goesOn);
  assert.deepEqual(failed, ["tick"]);
});

// Guards against failures that are survived and that no metric tells of.
test("a failed task is counted", async (t) => {
  const { logger } = taskLog();
  const timer = new ActivityTimer({
    clock,
    logger,
    task: failing,
    busyIntervalMs: () => 1,
  });
  const before = await tickFailures();
  t.after(() => timer.stop());
  timer.start();
  await holds(() => false);
  assert.ok((await tickFailures()) >= before + 2);
});

async function tickFailures(): Promise<number> {
  const text = await new Metrics().text();
  const name = /^mangobank_task_failures_total\{task="tick"\} (\d+)$/m;
  return Number(name.exec(text)?.[1] ?? 0);
}

async function listen(t: TestContext): Promise<number> {
  const server: Server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => server.close());
  const address = server.address();
  return typeof address === "object" ? (address?.port ?? 0) : 0;
}
