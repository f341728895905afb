import assert from "node:assert/strict";
import { test } from "node:test";
import { type BackendServer, ManualClock, SeededRandomness } from "#model";
import { encodeFrame } from "#wire";
import type { PresenceEffect } from "./effects.ts";
import { Presence } from "./presence.ts";

const WALL_TIME = 1_780_000_000_000;
const SERVERS = 1_000;
/** The longest name that a heartbeat may have, of characters of three bytes. */
const LONGEST = "区".repeat(256);

function createPresence(id: string): Presence {
  const presence = new Presence({
    ...{ id, incarnation: 1, dataCentre: "zone-0" },
    untrusted: new ManualClock(0, WALL_TIME),
    randomness: new SeededRandomness(1),
    registrarOnly: id.startsWith("control"),
  });
  const view = { epoch: 1, entries: [], began: 0 };
  presence.configure({ services: [LONGEST], view }, 0);
  presence.peerUp(id === "entry-1" ? "control-1" : "entry-1", 0);
  return presence;
}

function longNamedServer(index: number): BackendServer {
  return {
    id: `${index}`.padEnd(256, "x"),
    service: LONGEST,
    address: { host: `10.1.${index >> 8}.${index & 255}`, port: 8_080 },
    dataCentre: LONGEST,
    incarnation: WALL_TIME,
    sequence: 1,
    state: "ready",
    slots: 4,
    connections: 0,
    inFlight: 0,
    startedMsAgo: 0,
  };
}

/** Delivers messages; each must fit into a frame. Returns what they lead to. */
function deliver(
  effects: readonly PresenceEffect[],
  { from, to, now }: { from: string; to: Presence; now: number },
): PresenceEffect[] {
  return effects.flatMap((effect) => {
    if (effect.type !== "send") return [];
    const frame = encodeFrame(effect.kind, effect.payload);
    assert.ok(frame.isOk(), JSON.stringify(frame.isErr() && frame.error));
    return to.receive(from, effect as never, now);
  });
}

function announceAll(owner: Presence): void {
  for (let index = 0; index < SERVERS; index++) {
    const { result } = owner.announce(longNamedServer(index), 0);
    assert.ok(result.isOk(), JSON.stringify(result));
  }
}

// Guards against a link that closes each time that an owner sends its changes.
test("changes of servers with the longest names fit into messages and all arrive", () => {
  const [owner, entry] = [
    createPresence("control-1"),
    createPresence("entry-1"),
  ];
  announceAll(owner);
  deliver(owner.tick(300), { from: "control-1", to: entry, now: 300 });
  assert.equal(entry.servers(LONGEST, 300).length, SERVERS);
});

// Guards against a link that closes each time that an entry asks for a list.
test("the list of servers with the longest names arrives whole", () => {
  const [owner, entry] = [
    createPresence("control-1"),
    createPresence("entry-1"),
  ];
  announceAll(owner);
  const ask = { kind: "presence_ask", payload: [["control-1", 0, 0, -1]] };
  const answer = owner.receive("entry-1", ask as never, 300);
  deliver(answer, { from: "control-1", to: entry, now: 300 });
  assert.equal(entry.servers(LONGEST, 300).length, SERVERS);
});

// Guards against a link that closes when an owner is told that its servers have left.
test("leaves that contradict a list fit into messages and all arrive", () => {
  const [owner, entry] = [
    createPresence("control-1"),
    createPresence("entry-1"),
  ];
  for (let index = 0; index < SERVERS; index++) {
    const { id, service, incarnation } = longNamedServer(index);
    entry.observeLeaving({ id, service, incarnation }, 0);
  }
  announceAll(owner);
  const changes = owner.tick(300);
  const to = { from: "control-1", to: entry, now: 300 };
  const leaves = deliver(changes, to).filter(
    (effect) => effect.type === "send" && effect.kind === "presence_leaves",
  );
  deliver(leaves, { from: "entry-1", to: owner, now: 300 });
  assert.equal(owner.servers(LONGEST, 300).length, 0);
});
