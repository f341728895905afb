import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type EntryHeartbeat, EntryTable } from "#configuration";
import { SystemClock } from "#model";
import { type Logger, SilentLogger } from "#telemetry";
import type { Network } from "#wire";
import { MembershipManager } from "./membership_manager.ts";
import { ConfigurationPublisher } from "./publisher.ts";

/** A logger that keeps the tasks that failed. */
function taskLog() {
  const failed: unknown[] = [];
  const silent = new SilentLogger();
  const error: Logger["error"] = (message, fields) => {
    if (message === "task failed") failed.push(fields?.task);
  };
  const { warn, info, debug, trace } = silent;
  const logger: Logger = {
    error,
    warn,
    info,
    debug,
    trace,
    with: () => logger,
  };
  return { failed, logger };
}

// Guards against a control host that ends as a read throws, or that answers no
// heartbeat after it.
test("heartbeats are answered after a read that threw", async () => {
  const clock = new SystemClock();
  const { failed, logger } = taskLog();
  type Handler = (payload: EntryHeartbeat, from: { id: string }) => void;
  const handlers = new Map<string, Handler>();
  const sent: string[] = [];
  const network = {
    handle: (kind: string, handler: Handler) => handlers.set(kind, handler),
    send: (to: string) => sent.push(to) > 0,
    broadcast: () => undefined,
  };
  let reads = 0;
  const publisher = new ConfigurationPublisher({
    network: network as unknown as Network<never>,
    clock,
    logger,
    table: new EntryTable(),
    confirmRead: async () => {
      reads++;
      if (reads === 1) throw new Error("planted");
      return true;
    },
    otherControlHosts: () => [],
  });
  const heartbeat = { sequence: 1, version: 0 } as EntryHeartbeat;
  const send = () => handlers.get("confirm")?.(heartbeat, { id: "entry-1" });
  for (let attempt = 0; attempt < 10 && sent.length === 0; attempt++) {
    send();
    await delay(150);
  }
  publisher.close();
  assert.deepEqual(sent.slice(0, 1), ["entry-1"]);
  assert.deepEqual(failed, ["heartbeat_answers"]);
});

// Guards against a leader that ends as a change of members throws.
test("a step of the membership that throws is logged", async () => {
  const { failed, logger } = taskLog();
  const manager = new MembershipManager({
    log: {
      status: () => {
        throw new Error("planted");
      },
    } as never,
    clock: new SystemClock(),
    logger,
  });
  manager.tick();
  manager.tick();
  await delay(1);
  assert.deepEqual(failed, ["membership"]);
});
