import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type ConfigurationMessages,
  diffConfigurations,
  EMPTY_CONFIGURATION,
} from "#configuration";
import { type Configuration, type Entry, ManualClock } from "#model";
import { SilentLogger } from "#telemetry";
import type { Hello, Network } from "#wire";
import { ConfigurationFollower } from "./configuration_follower.ts";

const ADDRESS = { host: "127.0.0.1", port: 1 };

function entry(id: string): Entry {
  return {
    id,
    incarnation: 1,
    dataCentre: "riga-a",
    http: ADDRESS,
    peer: ADDRESS,
    state: "ready",
  };
}

const ENTRIES = ["e1", "e2", "e3", "e4", "e5"].map(entry);

function configuration(version: number): Configuration {
  const view = { epoch: 1, entries: ENTRIES, began: 0 };
  return { ...EMPTY_CONFIGURATION, version, view };
}

/** Followers that are connected to each other, and to control hosts. */
class FollowerNetwork {
  controls: readonly string[] = [];
  readonly clock = new ManualClock();
  /** Milliseconds since anything arrived from control hosts. */
  linkSilenceMs = 0;
  /** Entries with a link; all if undefined. */
  linkedPeers: ReadonlySet<string> | undefined;
  readonly renewedLinks: string[] = [];
  readonly #scheduled: { readonly at: number; readonly run: () => void }[] = [];
  readonly sent: { kind: string; from: string; to: string }[] = [];
  readonly followers = new Map<string, ConfigurationFollower>();
  readonly #handlers = new Map<string, (p: unknown, from: Hello) => void>();

  constructor() {
    for (const self of ENTRIES) {
      const follower = new ConfigurationFollower({
        network: this.#network(self.id),
        clock: this.clock,
        logger: new SilentLogger(),
        self: () => self,
        connectedControls: () => this.controls,
        stopReports: () => [],
        linkSilenceMs: (id) =>
          id.startsWith("e") && this.linkedPeers?.has(id) === false
            ? undefined
            : this.linkSilenceMs,
        renewLink: (id) => this.renewedLinks.push(id),
        schedule: (run, ms) =>
          this.#scheduled.push({ at: this.clock.now() + ms, run }),
        onChange: () => undefined,
      });
      this.followers.set(self.id, follower);
    }
  }

  /** Lets time pass, and what was scheduled until then happen. */
  pass(ms: number): void {
    this.clock.advance(ms);
    const now = this.clock.now();
    const isDue = ({ at }: { at: number }) => at <= now;
    const due = this.#scheduled.filter(isDue);
    const later = this.#scheduled.filter((item) => !isDue(item));
    this.#scheduled.splice(0, this.#scheduled.length, ...later);
    for (const { run } of due) run();
  }

  setVersion(id: string, version: number): void {
    const change = diffConfigurations(
      EMPTY_CONFIGURATION,
      configuration(version),
    );
    this.deliver("e0", id, "version_push", { change, ageMs: 0 });
  }

  deliver(from: string, to: string, kind: string, payload: unknown): void {
    const hello: Hello = {
      id: from,
      role: "entry",
      incarnation: 1,
      cluster: "c",
      version: 1,
    };
    this.#handlers.get(`${to} ${kind}`)?.(payload, hello);
  }

  #network(self: string): Network<ConfigurationMessages> {
    return {
      send: (to, kind, payload) => {
        this.sent.push({ kind, from: self, to });
        this.deliver(self, to, kind, payload);
        return true;
      },
      broadcast: () => undefined,
      handle: (kind, handler) => {
        this.#handlers.set(`${self} ${kind}`, handler as never);
      },
    };
  }
}

// When every peer pushed its whole configuration, this made up over half of all
// bytes sent on a day without a reachable control plane.
test("an outdated entry gets the configuration from one peer only", () => {
  const network = new FollowerNetwork();
  for (const { id } of ENTRIES) network.setVersion(id, id === "e1" ? 1 : 5);
  network.clock.advance(2_000);
  network.sent.length = 0;
  network.followers.get("e1")?.sendHeartbeat();
  assert.equal(network.followers.get("e1")?.version, 5);
  const pushes = network.sent.filter(({ kind }) => kind === "version_push");
  assert.equal(pushes.length, 1);
});

test("another peer is asked if the first does not respond", () => {
  const network = new FollowerNetwork();
  for (const { id } of ENTRIES) network.setVersion(id, id === "e1" ? 1 : 5);
  network.clock.advance(2_000);
  const follower = network.followers.get("e1");
  // This peer reports a newer version and then sends nothing.
  network.deliver("e9", "e1", "version_answer", { version: 5, round: 0 });
  assert.equal(follower?.version, 1);
  network.clock.advance(400);
  follower?.sendHeartbeat();
  assert.equal(follower?.version, 5);
});

// Guards against a change that waits for the next heartbeat, up to a second,
// since control computed it from a version that the entry no longer has.
test("an entry asks at once for a change that does not apply to its version", () => {
  const network = new FollowerNetwork();
  network.controls = ["c1"];
  network.setVersion("e1", 3);
  network.sent.length = 0;
  const change = diffConfigurations(configuration(2), configuration(4));
  network.deliver("c1", "e1", "state", { version: 4, change, ageMs: 0 });
  assert.equal(network.followers.get("e1")?.version, 3);
  const { sent } = network;
  assert.deepEqual(sent, [{ kind: "confirm", from: "e1", to: "c1" }]);
});

// Guards against connections to a host that is slow, or has no majority, though
// its link works.
test("a link is renewed only if nothing has arrived since the heartbeat", () => {
  const network = new FollowerNetwork();
  network.controls = ["c1", "c2"];
  const follower = network.followers.get("e1");
  follower?.sendHeartbeat();
  const first = network.sent.at(-1)?.to;
  network.linkSilenceMs = 300;
  network.pass(600);
  assert.deepEqual(network.renewedLinks, []);
  assert.notEqual(network.sent.at(-1)?.to, first, "the next host is asked");
  const second = network.sent.at(-1)?.to;
  network.linkSilenceMs = 900;
  network.pass(600);
  assert.deepEqual(network.renewedLinks, [second]);
});

// Guards against hosts that are passed over, so that an entry asks the same silent
// one again while another would answer.
test("unanswered heartbeats go to each control host in turn", () => {
  const network = new FollowerNetwork();
  network.controls = ["c1", "c2", "c3", "c4"];
  network.setVersion("e1", 1);
  network.followers.get("e1")?.sendHeartbeat();
  network.sent.length = 0;
  for (let count = 0; count < 4; count++) network.pass(600);
  const asked = network.sent.flatMap(({ kind, from, to }) =>
    kind === "confirm" && from === "e1" ? [to] : [],
  );
  assert.deepEqual([...asked].sort(), ["c1", "c2", "c3", "c4"]);
});

// Guards against a caller who sees a newer version at the entry that took its call
// over, and then the older one at the entry that had passed it on.
test("entries with different versions that exchange a call end with the newer one", () => {
  for (const [passedOnBy, takenBy] of [
    ["e1", "e2"],
    ["e2", "e1"],
  ] as const) {
    const network = new FollowerNetwork();
    network.setVersion("e1", 3);
    network.setVersion("e2", 5);
    const version = network.followers.get(passedOnBy)?.version ?? 0;
    network.followers.get(takenBy)?.compareVersion(passedOnBy, version);
    assert.equal(network.followers.get("e1")?.version, 5);
  }
});

// Guards against changes that reach an entry by one control host only, and against
// a whole configuration from each host when an entry starts.
test("a second control host is told the version once, to push changes as well", () => {
  const network = new FollowerNetwork();
  const follower = network.followers.get("e1");
  for (const control of ["c1", "c2", "c3"]) {
    network.controls = [...network.controls, control];
    follower?.controlUp(control);
  }
  const heartbeats = () =>
    network.sent.filter(({ kind }) => kind === "confirm");
  assert.deepEqual(
    heartbeats().map(({ to }) => to),
    ["c1"],
  );
  const change = diffConfigurations(EMPTY_CONFIGURATION, configuration(1));
  const answer = { version: 1, sequence: 1 };
  network.deliver("c1", "e1", "state", { ...answer, change, ageMs: 0 });
  for (let sequence = 2; sequence < 9; sequence++) {
    follower?.sendHeartbeat();
    network.deliver("c1", "e1", "state", { version: 1, sequence });
  }
  const others = heartbeats().filter(({ to }) => to !== "c1");
  assert.equal(others.length, 1);
  const [backup] = others;
  follower?.controlDown(backup?.to ?? "");
  follower?.sendHeartbeat();
  network.deliver("c1", "e1", "state", { version: 1, sequence: 12 });
  assert.equal(heartbeats().filter(({ to }) => to !== "c1").length, 2);
});

// Guards against a silent host that is asked a second time, as its place in the
// order was not that of the last host that was asked.
test("after a host that connected meanwhile, the next one in the order is asked", () => {
  for (const connected of ["c1", "c2", "c3"]) {
    const network = new FollowerNetwork();
    network.controls = ["c1", "c2", "c3"];
    const follower = network.followers.get("e1");
    follower?.sendHeartbeat();
    network.pass(600);
    follower?.controlUp(connected);
    assert.equal(network.sent.at(-1)?.to, connected);
    network.pass(600);
    assert.notEqual(network.sent.at(-1)?.to, connected);
  }
});

// Guards against heartbeats to one host after the other while all answer, but later
// than the timeout.
test("a host that answers late is followed while no other has answered", () => {
  const network = new FollowerNetwork();
  network.controls = ["c1", "c2", "c3"];
  const follower = network.followers.get("e1");
  follower?.sendHeartbeat();
  const late = network.sent.at(-1)?.to ?? "";
  network.pass(600);
  const answer = { version: 1, sequence: 1, ageMs: 0 };
  const change = diffConfigurations(EMPTY_CONFIGURATION, configuration(1));
  network.deliver(late, "e1", "state", { ...answer, change });
  network.sent.length = 0;
  network.pass(600);
  follower?.sendHeartbeat();
  const asked = network.sent.filter(({ kind }) => kind === "confirm");
  assert.deepEqual(
    asked.map(({ to }) => to),
    [late],
  );
});

// Guards against entries that keep overloaded control hosts, or those that have no
// majority, busy with more questions than at any other time.
test("questions are not more frequent than heartbeats while no host answers", () => {
  const network = new FollowerNetwork();
  network.controls = ["c1", "c2", "c3"];
  for (let passed = 0; passed < 20_000; passed += 100) {
    if (passed % 1_000 === 0) network.followers.get("e1")?.tick();
    network.pass(100);
  }
  const asked = network.sent.filter(({ kind }) => kind === "confirm");
  assert.ok(asked.length <= 20, `${asked.length} questions in 20 s`);
  const firstRound = asked.slice(0, 3).map(({ to }) => to);
  assert.equal(new Set(firstRound).size, 3);
});

// Guards against entries of a large site that ask all their peers for a majority which
// these are too few to make up, while control does not answer.
test("an entry without links to a majority asks a few peers at a time", () => {
  const network = new FollowerNetwork();
  const entries = Array.from({ length: 100 }, (_, i) => entry(`e${i + 1}`));
  const linked = entries.slice(1, 13).map(({ id }) => id);
  network.linkedPeers = new Set(linked);
  network.controls = ["c1"];
  const view = { epoch: 1, entries, began: 0 };
  const next = { ...EMPTY_CONFIGURATION, version: 5, view };
  const change = diffConfigurations(EMPTY_CONFIGURATION, next);
  network.deliver("e0", "e1", "version_push", { change, ageMs: 0 });
  const asked: string[] = [];
  for (let passed = 0; passed < 20_000; passed += 1_000) {
    network.sent.length = 0;
    network.followers.get("e1")?.tick();
    network.pass(1_000);
    const round = network.sent.filter(({ kind }) => kind === "version_ask");
    assert.ok(round.length <= 4, `${round.length} questions in a second`);
    asked.push(...round.map(({ to }) => to));
  }
  assert.deepEqual(new Set(asked), new Set(linked));
});
