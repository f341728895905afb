import assert from "node:assert/strict";
import { test } from "node:test";
import { type BackendServer, SeededRandomness } from "#model";
import { encodePut, type Operation, type PutOperation } from "./messages.ts";
import { packRecord } from "./packed_records.ts";
import { Presence } from "./presence.ts";
import { server } from "./testing/simulation.ts";
import { LEASE_MS } from "./timings.ts";

const OWNER = "control-1";

/** The positions of a record's fields in its operation. */
const FIELDS = {
  id: 2,
  host: 3,
  port: 4,
  incarnation: 6,
  sequence: 7,
  state: 8,
  slots: 9,
  connections: 10,
  inFlight: 11,
  startedMsAgo: 12,
  ageMs: 13,
} as const;

/**
 * Values with which no server can be used. Control hosts before aa87a8f accepted
 * each id, host and port, and any number of slots.
 */
const UNUSABLE: readonly [keyof typeof FIELDS, unknown][] = [
  ["id", "w\0"],
  ["id", "ŵ"],
  ["id", ""],
  ["id", "w".repeat(10_000)],
  ["host", "127.0.0.1\0"],
  ["host", ""],
  ["host", 7],
  ["port", 0],
  ["port", 70_000],
  ["port", Number.POSITIVE_INFINITY],
  ["port", "80"],
  ["incarnation", -1],
  ["incarnation", 2 ** 53],
  ["incarnation", Number.NaN],
  ["sequence", 2 ** 53],
  ["sequence", Number.POSITIVE_INFINITY],
  ["state", 7],
  ["slots", 0],
  ["slots", 1e9],
  ["slots", Number.NaN],
  ["connections", -1],
  ["inFlight", Number.NaN],
  ["startedMsAgo", Number.POSITIVE_INFINITY],
  ["ageMs", Number.NaN],
];

function put(record: BackendServer): PutOperation {
  return encodePut({ server: record, expiresAt: LEASE_MS, startedAt: 0 }, 0);
}

function createPresence(): Presence {
  const presence = new Presence({
    id: "e1",
    incarnation: 1,
    dataCentre: "riga-a",
    randomness: new SeededRandomness(1),
  });
  presence.configure(
    { services: ["alloc"], view: { epoch: 1, entries: [], began: 0 } },
    0,
  );
  return presence;
}

function usableIds(presence: Presence, now: number): string[] {
  return presence.servers("alloc", now).map(({ id }) => id);
}

for (const [field, value] of UNUSABLE) {
  const text = String(value).slice(0, 20).replace("\0", "NUL");
  // Guards against entries that end or lose sound servers by what a control host of
  // an older build has accepted of another writer.
  test(`a record with the ${field} "${text}" names no server, and the others hold`, () => {
    const odd = put(server("odd")).with(FIELDS[field], value as never);
    const operations = [put(server("a")), odd, put(server("z"))] as Operation[];
    const changes = [OWNER, 1, 0, operations] as const;
    const state = [OWNER, 1, 3, 1, 0, false, 0, 1, operations] as const;
    for (const message of [
      { kind: "presence_changes", payload: changes } as const,
      { kind: "presence_state", payload: state } as const,
    ]) {
      const presence = createPresence();
      presence.receive(OWNER, message, 0);
      assert.deepEqual(usableIds(presence, 1), ["a", "z"]);
      // A summary tells of the records by their place in the list.
      const [fresh, expired] = [LEASE_MS, 0].map((ms) =>
        packRecord({ slots: 2, inFlight: 0 }, ms),
      );
      const packed = Uint8Array.of(fresh ?? 0, fresh ?? 0, expired ?? 0);
      const summary = [OWNER, 1, 3, 2, 0, false, packed, 0] as const;
      const now = 2_000;
      const effects = presence.receive(
        OWNER,
        { kind: "presence_summaries", payload: [summary] },
        now,
      );
      assert.deepEqual(usableIds(presence, now + 1), ["a"]);
      assert.ok(!effects.some(({ type }) => type === "send"), "asks again");
    }
  });
}

// Guards against a list that is asked for again and again, since its owner and its
// replica keep another number of records.
test("a leave of an earlier incarnation leaves the place of an unusable record", () => {
  const odd = put(server("odd", { incarnation: 5 })).with(FIELDS.port, 70_000);
  const leave = [2, "alloc", "odd", 3, 1_000] as const;
  const operations = [odd, put(server("z")), leave] as Operation[];
  const presence = createPresence();
  const changes = [OWNER, 1, 0, operations] as const;
  presence.receive(OWNER, { kind: "presence_changes", payload: changes }, 0);
  const fresh = packRecord({ slots: 2, inFlight: 0 }, LEASE_MS);
  const packed = Uint8Array.of(fresh, fresh);
  const summary = [OWNER, 1, 3, 2, 0, false, packed, 0] as const;
  const message = { kind: "presence_summaries", payload: [summary] } as const;
  const effects = presence.receive(OWNER, message, 2_000);
  assert.ok(!effects.some(({ type }) => type === "send"), "asks again");
  assert.deepEqual(usableIds(presence, 2_001), ["z"]);
});
