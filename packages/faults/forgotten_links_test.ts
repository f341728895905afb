import assert from "node:assert/strict";
import { mock, type TestContext, test } from "node:test";
import {
  type ConfigurationMessages,
  EMPTY_CONFIGURATION,
  EntryTable,
} from "#configuration";
import { ConfigurationPublisher } from "#control";
import { EntryProcess } from "#entry";
import { ManualClock, SeededRandomness } from "#model";
import { SilentLogger } from "#telemetry";
import { PROTOCOL_VERSIONS, TcpNetwork } from "#wire";
import { reservePorts } from "../demo/ports.ts";
import { TEST_LIMITS } from "../entry/test_limits.ts";
import { Relay } from "./relay.ts";

const HOST = "127.0.0.1";
const { setTimeout: setRealTimeout } = globalThis;
const CONTROLS = 3;
/** Time within which an accepted change has to be in force. */
const IN_FORCE_WITHIN_MS = 2_000;
/** The same where only one control host is silent. */
const ONE_SILENT_WITHIN_MS = 500;
const STEP_MS = 20;
/**
 * Real time without data through the relays after which all that was sent has
 * arrived.
 */
const QUIET_MS = 1;
/** Steps of virtual time after which a wait fails. */
const MAX_STEPS = 1_000;

function realDelay(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setRealTimeout(resolve, ms);
  });
}

/**
 * An entry with control hosts that publish to it, on a virtual clock; they talk
 * over real connections, through relays.
 */
class ConfigurationSite {
  readonly clock = new ManualClock(1_000);
  readonly relays: Relay[] = [];
  readonly publishers: ConfigurationPublisher[] = [];
  readonly #networks: TcpNetwork<ConfigurationMessages>[] = [];
  #entry: EntryProcess | undefined;

  static async start(t: TestContext): Promise<ConfigurationSite> {
    mock.timers.enable({ apis: ["setInterval", "setTimeout"] });
    const site = new ConfigurationSite();
    t.after(() => {
      site.#close();
      mock.timers.reset();
    });
    for (let index = 0; index < CONTROLS; index++) await site.#addControl();
    await site.#startEntry(t);
    return site;
  }

  /** Publishes a version at all control hosts. */
  publish(version: number): void {
    const configuration = { ...EMPTY_CONFIGURATION, version };
    for (const publisher of this.publishers) publisher.publish(configuration);
  }

  /** The virtual milliseconds until the entry has a version in force. */
  async msUntilInForce(version: number): Promise<number> {
    const start = this.clock.now();
    for (let steps = 0; steps < MAX_STEPS; steps++) {
      if (this.#entry?.version === version) return this.clock.now() - start;
      await this.pass(STEP_MS);
    }
    return Number.POSITIVE_INFINITY;
  }

  async pass(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.clock.advance(STEP_MS);
      mock.timers.tick(STEP_MS);
      await this.#untilQuiet();
    }
  }

  /**
   * Waits in real time for what was sent over loopback, as otherwise the virtual
   * time runs ahead of it.
   */
  async #untilQuiet(): Promise<void> {
    let before = -1;
    while (before !== this.#forwardedBytes) {
      before = this.#forwardedBytes;
      await realDelay(QUIET_MS);
    }
  }

  get #forwardedBytes(): number {
    return this.relays.reduce(
      (sum, { forwardedBytes }) => sum + forwardedBytes,
      0,
    );
  }

  /** The relay to the control host that gets the entry's heartbeats. */
  async busiestRelay(): Promise<Relay> {
    const before = this.relays.map(({ forwardedBytes }) => forwardedBytes);
    await this.pass(4_000);
    const growth = this.relays.map(
      ({ forwardedBytes }, index) => forwardedBytes - (before[index] ?? 0),
    );
    const busiest = this.relays[growth.indexOf(Math.max(...growth))];
    assert.ok(busiest);
    return busiest;
  }

  async #addControl(): Promise<void> {
    const { clock } = this;
    const network = new TcpNetwork<ConfigurationMessages>({
      self: {
        id: `control-${this.publishers.length + 1}`,
        role: "control",
        incarnation: 1,
        cluster: "test",
        version: PROTOCOL_VERSIONS.oldest,
      },
      clock,
      observer: { onDisconnect: ({ id }) => publisher.handleDisconnect(id) },
    });
    const publisher: ConfigurationPublisher = new ConfigurationPublisher({
      network,
      clock,
      logger: new SilentLogger(),
      table: new EntryTable(),
      confirmRead: () => Promise.resolve(true),
      otherControlHosts: () => [],
    });
    const listening = await network.listen({ host: HOST, port: 0 });
    this.relays.push(new Relay(listening._unsafeUnwrap().port));
    this.publishers.push(publisher);
    this.#networks.push(network);
  }

  async #startEntry(t: TestContext): Promise<void> {
    const ports = await reservePorts();
    t.after(() => ports.release());
    const relayPorts = await Promise.all(this.relays.map((r) => r.listen()));
    const nextAddress = () => ({ host: HOST, port: ports.take() });
    this.#entry = new EntryProcess({
      settings: {
        id: "entry-1",
        cluster: "test",
        dataCentre: "riga-a",
        http: nextAddress(),
        peer: nextAddress(),
        metrics: nextAddress(),
        control: relayPorts.map((port) => ({ host: HOST, port })),
        limits: TEST_LIMITS,
      },
      clock: this.clock,
      randomness: new SeededRandomness(1),
      logger: new SilentLogger(),
    });
    (await this.#entry.start())._unsafeUnwrap();
  }

  #close(): void {
    this.#entry?.close();
    for (const publisher of this.publishers) publisher.close();
    for (const network of this.#networks) network.close();
    for (const relay of this.relays) relay.close();
  }
}

// Guards against an entry that acts on an old configuration for as long as its
// links last that are dead but not closed.
test("a change is in force in time after the links of an entry were forgotten", async (t) => {
  const site = await ConfigurationSite.start(t);
  site.publish(1);
  assert.notEqual(await site.msUntilInForce(1), Number.POSITIVE_INFINITY);
  const delays: number[] = [];
  for (let version = 2; version < 12; version++) {
    // The links are forgotten at another time after a heartbeat in each round.
    await site.pass(6_000 + 110 * version);
    for (const relay of site.relays) relay.forget();
    site.publish(version);
    delays.push(await site.msUntilInForce(version));
  }
  assert.ok(
    delays.every((delay) => delay <= IN_FORCE_WITHIN_MS),
    `in force after ${delays.join(", ")} ms`,
  );
});

// Guards against a change that depends on one control host, whose silence an
// entry notices more than a second later.
test("a change is in force at once though the followed control host is silent", async (t) => {
  const site = await ConfigurationSite.start(t);
  site.publish(1);
  assert.notEqual(await site.msUntilInForce(1), Number.POSITIVE_INFINITY);
  await site.pass(3_000);
  const followed = await site.busiestRelay();
  // The others no longer push because of what the entry sent when it started.
  for (const relay of site.relays) {
    if (relay !== followed) relay.forget();
  }
  await site.pass(8_000);
  followed.cut();
  site.publish(2);
  const delay = await site.msUntilInForce(2);
  assert.ok(delay <= ONE_SILENT_WITHIN_MS, `in force after ${delay} ms`);
});
