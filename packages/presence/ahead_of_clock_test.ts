import assert from "node:assert/strict";
import { test } from "node:test";
import { EMPTY_VIEW, SeededRandomness } from "#model";
import type { Operation } from "./messages.ts";
import { Presence, type PresenceMessage } from "./presence.ts";

const WALL_TIME = 1_780_000_000_000;
const BORN = WALL_TIME - 5_000;

/** An entry whose clock can be wrong. */
class SkewedEntry {
  behindMs = 0;
  #now = 0;
  readonly #versions = new Map<string, number>();
  readonly #presence = new Presence({
    ...{ id: "entry-1", incarnation: 1, dataCentre: "riga-a" },
    randomness: new SeededRandomness(1),
    untrusted: { wallTime: () => WALL_TIME + this.#now - this.behindMs },
  });

  constructor() {
    this.#presence.configure({ services: ["alloc"], view: EMPTY_VIEW }, 0);
  }

  /** Takes a change of a control host's list. */
  take(from: string, operation: Operation): void {
    const version = this.#versions.get(from) ?? 0;
    this.#versions.set(from, version + 1);
    const payload = [from, 1, version, [operation]] as const;
    const message: PresenceMessage = { kind: "presence_changes", payload };
    this.#presence.receive(from, message, this.#now);
  }

  /** Lets time pass while the lists are renewed; returns the servers in use. */
  run(ms: number): string[] {
    for (const end = this.#now + ms; this.#now < end; ) {
      this.#now += 100;
      if (this.#now % 2_000 === 0) this.#renew();
      this.#presence.tick(this.#now);
    }
    return this.#presence.servers("alloc", this.#now).map(({ id }) => id);
  }

  #renew(): void {
    for (const [owner, version] of this.#versions) {
      // A list of one record, or of leaves only.
      const records = new Uint8Array(owner === "control-2" ? 1 : 0);
      const position = [owner, 1, version, this.#now] as const;
      const payload = [[...position, 0, false, records, 0]] as const;
      const message: PresenceMessage = { kind: "presence_summaries", payload };
      this.#presence.receive(owner, message, this.#now);
    }
  }
}

function put(incarnation: number): Operation {
  return [
    ...([0, "alloc", "w1", "10.0.0.1", 8_080, "riga-a"] as const),
    ...([incarnation, 1, 0, 6, 0, 0, 5_000, 0] as const),
  ];
}

function leave(incarnation: number): Operation {
  return [2, "alloc", "w1", incarnation, 600_000];
}

// Guards against a server that is out of use, or used after it has left, since the
// entry's clock was behind when it got the record and the leave.
test("a record counts once the clock has reached its start", () => {
  const entry = new SkewedEntry();
  entry.behindMs = 120_000;
  entry.take("control-2", put(BORN));
  assert.deepEqual(entry.run(10_000), []);
  entry.behindMs = 0;
  assert.deepEqual(entry.run(300), ["w1"]);
});

test("a leave that came while the clock was behind binds once it is right", () => {
  const entry = new SkewedEntry();
  entry.behindMs = 120_000;
  entry.take("control-2", put(BORN));
  entry.take("control-1", leave(BORN));
  assert.deepEqual(entry.run(10_000), []);
  entry.behindMs = 0;
  assert.deepEqual(entry.run(300), []);
  assert.deepEqual(entry.run(20_000), []);
});

test("made-up leaves far ahead do not take the place of a real one", () => {
  const entry = new SkewedEntry();
  entry.behindMs = 120_000;
  entry.take("control-2", put(BORN));
  entry.take("control-1", leave(BORN));
  for (let index = 0; index < 20; index++) {
    entry.take("control-1", leave(Number.MAX_SAFE_INTEGER - index));
  }
  entry.behindMs = 0;
  assert.deepEqual(entry.run(10_000), []);
});

// Guards against a made-up leave in the future that ends a server when its time comes.
test("a leave that was ahead of a clock that was right never counts", () => {
  const entry = new SkewedEntry();
  entry.take("control-2", put(BORN));
  entry.take("control-1", leave(WALL_TIME + 120_000));
  for (let round = 0; round < 30; round++) {
    assert.deepEqual(entry.run(20_000), ["w1"]);
  }
});
