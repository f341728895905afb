import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { setImmediate as turn } from "node:timers/promises";
import {
  applyChange,
  type ConfigurationMessages,
  type ConfigurationUpdate,
  EMPTY_CONFIGURATION,
  EntryTable,
} from "#configuration";
import { type Configuration, ManualClock, type Service } from "#model";
import { SilentLogger } from "#telemetry";
import { encodeFrame, FrameReader, type Hello, type Network } from "#wire";
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

/** Counts how often the fields of its service are read. */
class CountedService {
  reads = 0;

  /** A configuration with the service, whose fields are read to send it. */
  configuration(version: number): Configuration {
    const service = {
      ...{ measuringBudgetPercent: 1, retryBudgetPercent: 1, drainLimitS: 1 },
      ...{ ejectionMaxPercent: 1, coldStartMs: version, queueLength: 1 },
      ...{ slotsPerServer: 1, connectionsPerServer: 1 },
      ...{ classes: [], routes: [] },
    };
    Object.defineProperty(service, "name", {
      enumerable: true,
      get: () => {
        this.reads += 1;
        return "alloc";
      },
    });
    const services = [service as unknown as Service];
    const { document } = EMPTY_CONFIGURATION;
    return {
      ...EMPTY_CONFIGURATION,
      document: { ...document, services },
      version,
    };
  }
}

/** A publisher whose messages are encoded as on a link of peers of this build. */
class EncodingSite {
  readonly clock = new ManualClock();
  readonly received: [to: string, update: ConfigurationUpdate][] = [];
  readonly publisher: ConfigurationPublisher;
  readonly #handlers = new Map<string, (payload: never, from: Hello) => void>();
  #sequence = 0;

  constructor() {
    const network: Network<ConfigurationMessages> = {
      send: (to, kind, payload) => {
        const frame = encodeFrame(kind, payload, { keys: "short" });
        const [read] = new FrameReader()
          .push(frame._unsafeUnwrap())
          ._unsafeUnwrap();
        this.received.push([to, read?.payload as ConfigurationUpdate]);
        return true;
      },
      broadcast: (to, kind, payload) => {
        for (const id of to) network.send(id, kind, payload);
      },
      handle: (kind, handler) => this.#handlers.set(kind, handler as never),
    };
    this.publisher = new ConfigurationPublisher({
      network,
      clock: this.clock,
      logger: new SilentLogger(),
      table: new EntryTable(),
      confirmRead: async () => true,
      otherControlHosts: () => [],
    });
  }

  /** Sends a heartbeat of each entry, which has no configuration. */
  async ask(...entries: readonly string[]): Promise<void> {
    for (const id of entries) {
      const from: Hello = {
        ...{ id, role: "entry", incarnation: 1, cluster: "c", version: 1 },
      };
      const sequence = ++this.#sequence;
      const heartbeat = { version: 0, sequence, stops: [] };
      this.#handlers.get("confirm")?.(heartbeat as never, from);
    }
    for (let i = 0; i < 10; i++) {
      mock.timers.tick(BATCH_MS);
      await turn();
    }
  }
}

// Guards against a control host that computes and encodes the whole configuration for
// each heartbeat of each entry that has none, when all entries come back at once.
test("the whole configuration is encoded once for all entries without one", async (t) => {
  mock.timers.enable({ apis: ["setTimeout"] });
  t.after(() => mock.timers.reset());
  const site = new EncodingSite();
  t.after(() => site.publisher.close());
  const service = new CountedService();
  site.publisher.publish(service.configuration(3));
  await site.ask("e1");
  const readsOfOne = service.reads;
  site.clock.advance(40);
  await site.ask("e1", "e2", "e3");
  await site.ask("e2");
  assert.equal(service.reads, readsOfOne, "reads of the service's name");
  assert.deepEqual(
    site.received.map(([to, { version, sequence, ageMs }]) => [
      ...[to, version, sequence, ageMs],
    ]),
    [
      ["e1", 3, 1, 0],
      ["e1", 3, 2, 40],
      ["e2", 3, 3, 40],
      ["e3", 3, 4, 40],
      ["e2", 3, 5, 40],
    ],
  );
  const expected = service.configuration(3);
  for (const [, { change }] of site.received) {
    assert.deepEqual(change && applyChange(EMPTY_CONFIGURATION, change), {
      ...expected,
      document: {
        ...expected.document,
        services: [{ ...expected.document.services[0] }],
      },
    });
  }
});

// Guards against an entry that gets the configuration of a version before the one that
// the message names.
test("an entry without a configuration gets the version published last", async (t) => {
  mock.timers.enable({ apis: ["setTimeout"] });
  t.after(() => mock.timers.reset());
  const site = new EncodingSite();
  t.after(() => site.publisher.close());
  const service = new CountedService();
  site.publisher.publish(service.configuration(3));
  await site.ask("e1");
  site.publisher.publish(service.configuration(4));
  await site.ask("e2");
  const last = site.received.at(-1)?.[1];
  assert.equal(last?.version, 4);
  assert.equal(last?.change?.to, 4);
  assert.equal(last?.change?.services.changed[0]?.coldStartMs, 4);
});
