import assert from "node:assert/strict";
import { test } from "node:test";
import { decodePut, encodePut, type PutOperation } from "./messages.ts";
import { entriesAcross, Simulation, server } from "./testing/simulation.ts";

function simulate() {
  const entries = entriesAcross(3, ["riga-a", "riga-b"]);
  return new Simulation({ seed: 1, entries, services: ["alloc"] });
}

/** The time for which each entry takes the server to be cold, in milliseconds. */
function remainingMs(sim: Simulation): number[] {
  return ["e1", "e2", "e3"].map((entry) => {
    const [found] = sim.entry(entry).servers("alloc", sim.now);
    return found?.warmUpRemainingMs ?? 0;
  });
}

function assertNear(actual: readonly number[], expected: number): void {
  for (const ms of actual) {
    assert.ok(ms >= expected && ms <= expected + 100, `${ms}, not ${expected}`);
  }
}

// Guards against a warm-up that begins anew with each copy of the record.
test("all entries know until when a server is cold, whatever the record's age", () => {
  const sim = simulate();
  sim.announce("e1", server("w", { sequence: 1, warmUpRemainingMs: 10_000 }));
  sim.run(1_000);
  assertNear(remainingMs(sim), 9_000);
  sim.run(4_000);
  assertNear(remainingMs(sim), 5_000);
  sim.run(3_000);
  sim.announce("e1", server("w", { sequence: 2, warmUpRemainingMs: 2_000 }));
  sim.run(2_500);
  assert.deepEqual(remainingMs(sim), [0, 0, 0]);
});

// Guards against a renewal by which others do not learn that a server is cold again.
test("entries learn that a server is cold again, and that it no longer is", () => {
  const sim = simulate();
  sim.announce("e1", server("w", { sequence: 1 }));
  sim.run(1_000);
  assert.deepEqual(remainingMs(sim), [0, 0, 0]);
  sim.announce("e1", server("w", { sequence: 2, warmUpRemainingMs: 8_000 }));
  sim.run(500);
  assertNear(remainingMs(sim), 7_500);
  sim.announce("e1", server("w", { sequence: 3 }));
  sim.run(500);
  assert.deepEqual(remainingMs(sim), [0, 0, 0]);
});

test("a record of a build without warm-ups is one of a warm server", () => {
  const cold = server("w", { warmUpRemainingMs: 5_000 });
  const times = { expiresAt: 9_000, startedAt: 0 };
  const put = encodePut({ server: cold, ...times, coldUntil: 5_000 }, 1_000);
  assert.equal(put.length, 15);
  assert.equal(decodePut(put, 1_000).coldUntil, 5_000);
  const former = put.slice(0, 14) as unknown as PutOperation;
  assert.equal(decodePut(former, 1_000).coldUntil, undefined);
  for (const odd of [-1, "5", Number.NaN, null]) {
    const record = decodePut(
      [...former, odd] as unknown as PutOperation,
      1_000,
    );
    assert.equal(record.coldUntil, undefined, String(odd));
    assert.equal(record.unusable, undefined, String(odd));
  }
  const warm = encodePut({ server: server("w"), ...times }, 1_000);
  assert.equal(warm.length, 14);
});
