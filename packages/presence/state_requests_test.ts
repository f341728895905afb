import assert from "node:assert/strict";
import { test } from "node:test";
import { type Entry, type HostId, SeededRandomness } from "#model";
import type { PresenceEffect } from "./effects.ts";
import { encodePut, type Position, type StateMessage } from "./messages.ts";
import { Presence, type PresenceMessage } from "./presence.ts";
import { server } from "./testing/simulation.ts";
import { LEASE_MS, TICK_INTERVAL_MS } from "./timings.ts";

const OWNERS = Array.from({ length: 20 }, (_, index) => `owner-${index}`);
/** A list that has been asked for in vain is asked for again within this time. */
const LONGEST_INTERVAL_MS = 2_600;

interface Ask {
  readonly at: number;
  readonly to: HostId;
  readonly positions: readonly Position[];
}

/** An entry that is linked to owners of lists, which answer only when told to. */
class Asker {
  now = 0;
  readonly asks: Ask[] = [];
  readonly #presence: Presence;

  constructor(seed = 1) {
    this.#presence = new Presence({
      ...{ id: "asker", incarnation: 1, dataCentre: "riga-a" },
      randomness: new SeededRandomness(seed),
    });
    const entries = ["asker", ...OWNERS].map(
      (id): Entry => ({
        ...{ id, incarnation: 1, dataCentre: "riga-a", state: "ready" },
        http: { host: id, port: 80 },
        peer: { host: id, port: 81 },
      }),
    );
    const view = { epoch: 1, entries, began: 0 };
    this.#presence.configure({ services: ["alloc"], view }, 0);
    for (const id of OWNERS) this.#record(this.#presence.peerUp(id, 0));
    // Those of a new link are sent once only.
    this.asks.length = 0;
  }

  run(ms: number, beforeTick: () => void = () => undefined): void {
    for (const end = this.now + ms; this.now < end; ) {
      this.now += TICK_INTERVAL_MS;
      beforeTick();
      this.#record(this.#presence.tick(this.now));
    }
  }

  receive(from: HostId, message: PresenceMessage): void {
    this.#record(this.#presence.receive(from, message, this.now));
  }

  /** The owner's answer: a list with one server, in full or its first part. */
  receiveState(owner: HostId, { round = 1, parts = 1 } = {}): void {
    const record = {
      server: server(`w-${owner}`),
      expiresAt: this.now + LEASE_MS,
      startedAt: this.now,
    };
    const position: Position = [owner, 1, round, round];
    const operations = [encodePut(record, this.now)];
    const payload: StateMessage = [...position, 0, false, 0, parts, operations];
    this.receive(owner, { kind: "presence_state", payload });
  }

  /** A summary of the owner by which the entry lacks changes. */
  receiveNewerSummary(owner: HostId, version = 100): void {
    const summary = [owner, 1, version, version, 0, false] as const;
    const payload = [[...summary, new Uint8Array(1), 0]] as const;
    this.receive(owner, { kind: "presence_summaries", payload });
  }

  /** When the owner was asked for its own list, in order. */
  askTimes(owner: HostId): number[] {
    const isOwn = ({ to, positions }: Ask) =>
      to === owner && positions.some(([of]) => of === owner);
    // A random peer may be the owner, and is then asked twice at once.
    return [...new Set(this.asks.filter(isOwn).map(({ at }) => at))];
  }

  #record(effects: readonly PresenceEffect[]): void {
    for (const effect of effects) {
      if (effect.type !== "send" || effect.kind !== "presence_ask") continue;
      const positions = effect.payload;
      this.asks.push({ at: this.now, to: effect.to, positions });
    }
  }
}

function intervals(times: readonly number[]): number[] {
  return times.slice(1).map((at, index) => at - (times[index] ?? 0));
}

// Guards against busy owners that get two asks a second from each of a hundred entries,
// and against a list that is asked for too rarely once its owner can answer.
test("owners that do not answer are asked less often, but within 2.6 s", () => {
  const asker = new Asker();
  asker.run(20_000);
  for (const owner of OWNERS) {
    const times = asker.askTimes(owner);
    assert.ok(times.length <= 14, `${owner} was asked ${times.length} times`);
    const [first = 0] = intervals(times);
    assert.ok(first <= 1_100, `${owner} was asked again after ${first} ms`);
    const longest = Math.max(...intervals([...times, asker.now]));
    assert.ok(longest <= LONGEST_INTERVAL_MS, `${owner}: ${longest} ms`);
  }
});

// Guards against a list that is asked for again with each message that shows a gap.
test("an owner that sends changes but no list is asked less often", () => {
  const asker = new Asker();
  for (const owner of OWNERS) asker.receiveState(owner);
  asker.asks.length = 0;
  let version = 100;
  asker.run(10_000, () => {
    version += 1;
    for (const owner of OWNERS) asker.receiveNewerSummary(owner, version);
  });
  for (const owner of OWNERS) {
    const times = asker.askTimes(owner);
    assert.ok(times.length <= 10, `${owner} was asked ${times.length} times`);
    const longest = Math.max(...intervals(times));
    assert.ok(longest <= LONGEST_INTERVAL_MS, `${owner}: ${longest} ms`);
  }
});

// Guards against a lost message after an answer, whose repeat would take as long as the
// asks before the answer did.
for (const [name, parts] of [
  ["its list", 1],
  ["a part of its list", 2],
] as const) {
  test(`an owner that has sent ${name} is asked again as soon as at first`, () => {
    for (let seed = 1; seed <= 20; seed++) {
      const asker = new Asker(seed);
      asker.run(10_000);
      const owner = "owner-3";
      for (const other of OWNERS) {
        asker.receiveState(other, {
          round: 5,
          parts: other === owner ? parts : 1,
        });
      }
      asker.asks.length = 0;
      const answeredAt = asker.now;
      asker.receiveNewerSummary(owner);
      asker.run(1_600);
      const times = [answeredAt, ...asker.askTimes(owner)];
      const [first = Infinity, second = Infinity] = intervals(times);
      assert.ok(first <= 500, `seed ${seed}: first ${first} ms`);
      assert.ok(second <= 600, `seed ${seed}: second ${second} ms`);
    }
  });
}

// Guards against asks of all entries that reach an owner at the same moments, since the
// entries have started together.
test("entries that start together do not repeat their asks in step", () => {
  const [first, second] = [new Asker(1), new Asker(2)];
  for (const asker of [first, second]) asker.run(20_000);
  const shared = OWNERS.map((owner) => {
    const times = new Set(first.askTimes(owner));
    return second.askTimes(owner).filter((at) => times.has(at)).length;
  });
  const all = OWNERS.map((owner) => first.askTimes(owner).length);
  const sum = (counts: number[]) => counts.reduce((a, b) => a + b, 0);
  assert.ok(sum(shared) < sum(all) / 2, `${sum(shared)} of ${sum(all)}`);
});
