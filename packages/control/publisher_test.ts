import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { setImmediate as turn } from "node:timers/promises";
import { type ConfigurationMessages, EntryTable } from "#configuration";
import { ManualClock } from "#model";
import { SilentLogger } from "#telemetry";
import type { Hello, Network } from "#wire";
import { ConfigurationPublisher } from "./publisher.ts";

/** Longer than heartbeats are collected for one read. */
const BATCH_MS = 200;

// Guards against a control host that is behind with its answers and sends an entry one
// for each time that it has asked again.
test("an entry that asked again before the read gets one answer", async (t) => {
  mock.timers.enable({ apis: ["setTimeout"] });
  t.after(() => mock.timers.reset());
  const answers: [to: string, sequence: number | undefined][] = [];
  const handlers = new Map<string, (payload: never, from: Hello) => void>();
  const network: Network<ConfigurationMessages> = {
    send: (to, kind, payload) => {
      const { sequence } = payload as ConfigurationMessages["state"];
      if (kind === "state") answers.push([to, sequence]);
      return true;
    },
    broadcast: () => undefined,
    handle: (kind, handler) => handlers.set(kind, handler as never),
  };
  const publisher = new ConfigurationPublisher({
    network,
    clock: new ManualClock(),
    logger: new SilentLogger(),
    table: new EntryTable(),
    confirmRead: async () => true,
    otherControlHosts: () => [],
  });
  t.after(() => publisher.close());
  for (const [id, sequence] of [
    ["e1", 1],
    ["e1", 2],
    ["e2", 7],
    ["e1", 3],
  ] as const) {
    const from: Hello = {
      ...{ id, role: "entry", incarnation: 1, cluster: "c", version: 1 },
    };
    const heartbeat = { version: 0, sequence, stops: [] };
    handlers.get("confirm")?.(heartbeat as never, from);
  }
  for (let i = 0; i < 10; i++) {
    mock.timers.tick(BATCH_MS);
    await turn();
  }
  assert.deepEqual(answers, [
    ["e2", 7],
    ["e1", 3],
  ]);
});
