import assert from "node:assert/strict";
import { test } from "node:test";
import type { BackendServer } from "#model";
import type { SummaryMessage } from "./messages.ts";
import type { PresenceMessage } from "./presence.ts";
import { RelaySpread } from "./spread.ts";
import { entriesIn, Simulation, server } from "./testing/simulation.ts";

const RIGA = ["riga-a", "riga-b"];
const THREE = entriesIn(3, RIGA);

function simulate(entries = THREE) {
  return new Simulation({ seed: 1, entries, services: ["alloc", "report"] });
}

/** Announces a server every 3 s at an entry while time passes. */
function renewing(
  sim: Simulation,
  options: { at: string; server: BackendServer; ms: number },
): BackendServer {
  let current = options.server;
  for (let passed = 0; passed < options.ms; passed += 3_000) {
    sim.announce(options.at, current);
    sim.run(Math.min(3_000, options.ms - passed));
    current = { ...current, sequence: current.sequence + 1 };
  }
  return current;
}

test("an entry that does not know its peers' records yet accepts nothing", () => {
  const sim = simulate();
  sim.kill("e3");
  sim.start("e3");
  const refused = sim.announce("e3", server("w"));
  assert.equal(refused.isErr() && refused.error.type, "not_ready");
  sim.run(1_000);
  assert.ok(sim.announce("e3", server("w")).isOk());
});

test("a silent peer keeps a starting entry unready for 3 s only", () => {
  const sim = simulate();
  for (const id of ["e1", "e2"]) sim.kill(id);
  sim.start("e3");
  sim.run(2_500);
  assert.ok(!sim.entry("e3").ready);
  sim.run(600);
  assert.ok(sim.entry("e3").ready);
});

test("a record reaches every entry in 3 s and a leave at once", () => {
  const sim = simulate(entriesIn(18, RIGA));
  sim.announce("e1", server("w"));
  sim.run(300);
  assert.deepEqual(sim.disagreeing(["w@1:ready"]), []);
  sim.announce("e1", server("w", { sequence: 2, state: "unhealthy" }));
  sim.run(300);
  assert.deepEqual(sim.disagreeing(["w@1:unhealthy"]), []);
  sim.leave("e9", server("w"));
  sim.run(50);
  assert.deepEqual(sim.disagreeing([]), []);
});

test("a leave that reaches an entry before the record still counts", () => {
  const sim = simulate();
  sim.announce("e1", server("w"));
  assert.ok(sim.leave("e2", server("w")).isOk());
  sim.run(1_000);
  assert.deepEqual(sim.disagreeing([]), []);
  const again = sim.announce("e1", server("w", { sequence: 2 }));
  assert.equal(again._unsafeUnwrapErr().type, "already_leaving");
});

test("evidence in a reply counts and spreads; of an earlier start it does not", () => {
  const sim = simulate();
  sim.announce("e1", server("w", { incarnation: 2 }));
  sim.run(300);
  const evidence = (incarnation: number) =>
    sim.carry(
      "e3",
      sim
        .entry("e3")
        .observeLeaving({ service: "alloc", id: "w", incarnation }, sim.now),
    );
  evidence(1);
  sim.run(300);
  assert.deepEqual(sim.disagreeing(["w@2:ready"]), []);
  evidence(2);
  sim.run(50);
  assert.deepEqual(sim.disagreeing([]), []);
});

test("a lost change is repaired within 3 s", () => {
  const sim = simulate();
  sim.weather = { loss: 1, duplication: 0, maxDelayMs: 0 };
  sim.announce("e1", server("w"));
  sim.leave("e1", server("v"));
  sim.run(250);
  sim.weather = { loss: 0, duplication: 0, maxDelayMs: 0 };
  sim.run(2_700);
  assert.deepEqual(sim.disagreeing(["w@1:ready"]), []);
  assert.ok(sim.announce("e2", server("v")).isErr());
});

test("a missing connection between two entries is bridged by a third", () => {
  const sim = simulate();
  sim.cut("e1", "e2");
  let current = renewing(sim, { at: "e1", server: server("w"), ms: 3_000 });
  assert.deepEqual(sim.disagreeing(["w@1:ready"]), []);
  current = renewing(sim, { at: "e1", server: current, ms: 30_000 });
  assert.deepEqual(sim.disagreeing(["w@1:ready"]), []);
  sim.leave("e1", current);
  sim.run(3_000);
  assert.deepEqual(sim.disagreeing([]), []);
});

test("a leave just after a connection went silent arrives within 3 s", () => {
  const sim = simulate(entriesIn(5, RIGA));
  const current = renewing(sim, { at: "e1", server: server("w"), ms: 6_000 });
  sim.cut("e1", "e2");
  sim.leave("e1", current);
  sim.run(3_000);
  assert.deepEqual(sim.disagreeing([]), []);
});

test("a dead server's lease ends everywhere 9 s after its announcement", () => {
  const sim = simulate();
  renewing(sim, { at: "e1", server: server("w"), ms: 30_000 });
  sim.run(5_800);
  assert.deepEqual(sim.disagreeing(["w@1:ready"]), []);
  sim.run(500);
  assert.deepEqual(sim.disagreeing([]), []);
});

test("an entry that dies does not prolong its servers' leases", () => {
  const sim = simulate();
  renewing(sim, { at: "e1", server: server("w"), ms: 6_000 });
  sim.kill("e1");
  sim.run(5_000);
  assert.deepEqual(sim.disagreeing(["w@1:ready"]), []);
  sim.run(1_200);
  assert.deepEqual(sim.disagreeing([]), []);
});

test("a restarted entry takes nothing from the view and learns all", () => {
  const sim = simulate();
  const current = renewing(sim, { at: "e1", server: server("w"), ms: 3_000 });
  sim.leave("e1", server("v"));
  sim.run(50);
  sim.start("e1");
  sim.run(1_000);
  assert.deepEqual(sim.disagreeing(["w@1:ready"]), []);
  sim.announce("e1", current);
  sim.announce("e1", server("v", { sequence: 2 }));
  sim.run(3_000);
  assert.deepEqual(sim.disagreeing(["w@1:ready"]), []);
});

test("a leave whose entry is gone is not forgotten by the others", () => {
  const sim = simulate();
  sim.kill("e1");
  sim.announce("e2", server("w"));
  sim.leave("e2", server("w"));
  sim.run(1_000);
  sim.kill("e2");
  sim.run(70_000);
  sim.start("e1");
  sim.run(4_000);
  sim.announce("e1", server("w", { sequence: 2 }));
  sim.run(300);
  assert.deepEqual(sim.disagreeing([]), []);
});

test("a message that waited in a stopped process brings no full lease", () => {
  const sim = simulate();
  sim.freeze("e3");
  sim.announce("e1", server("w"));
  sim.run(300);
  sim.freeze("e1");
  sim.run(2_700);
  sim.thaw("e3");
  sim.run(500);
  assert.deepEqual(sim.seen("e3"), ["w@1:ready"]);
  sim.run(6_000);
  assert.deepEqual(sim.seen("e3"), []);
});

test("a summary that arrives twice renews nothing the second time", () => {
  const sim = simulate();
  const summaries: PresenceMessage[] = [];
  sim.announce("e1", server("w"));
  sim.sent = (from, { to, kind, payload }) => {
    if (from !== "e1" || to !== "e2" || kind !== "presence_summaries") return;
    summaries.push({ kind, payload });
  };
  sim.run(7_900);
  sim.kill("e1");
  const first = summaries[0];
  assert.ok(first);
  sim.carry("e2", sim.entry("e2").receive("e1", first, sim.now));
  sim.run(1_500);
  assert.deepEqual(sim.seen("e2"), []);
});

test("the time that a relay held a summary counts as age", () => {
  const sim = simulate();
  let last: SummaryMessage | undefined;
  sim.announce("e1", server("w"));
  sim.sent = (from, { to, kind, payload }) => {
    if (from !== "e1" || to !== "e2" || kind !== "presence_summaries") return;
    last = payload[0];
  };
  sim.run(2_500);
  assert.ok(last);
  sim.kill("e1");
  const [owner, incarnation, version, round, load, stopping, records] = last;
  const position = [owner, incarnation, version, round + 1] as const;
  const held: SummaryMessage = [...position, load, stopping, records, 9_000];
  const message = { kind: "presence_summaries", payload: [held] } as const;
  sim.carry("e2", sim.entry("e2").receive("e3", message, sim.now));
  sim.run(100);
  assert.deepEqual([sim.seen("e2"), sim.seen("e3")], [[], ["w@1:ready"]]);
});

test("a cut-off data centre keeps its records until their leases end", () => {
  const sim = simulate(entriesIn(6, RIGA));
  sim.announce("e1", server("a"));
  sim.announce("e2", server("b"));
  sim.run(300);
  sim.partition(["e2", "e4", "e6"]);
  sim.run(8_000);
  assert.deepEqual(sim.seen("e4"), ["a@1:ready", "b@1:ready"]);
  sim.announce("e2", server("b", { sequence: 2 }));
  sim.run(3_000);
  assert.deepEqual([sim.seen("e4"), sim.seen("e3")], [["b@1:ready"], []]);
  sim.heal();
  sim.run(3_000);
  assert.deepEqual(sim.disagreeing(["b@1:ready"]), []);
});

test("an announcement overtaken on its way to another entry does not stay", () => {
  const sim = simulate();
  sim.announce("e1", server("w"));
  sim.run(300);
  // Silent renewals: the others do not know these sequences.
  sim.announce("e1", server("w", { sequence: 4 }));
  sim.announce("e2", server("w", { sequence: 2, state: "unhealthy" }));
  sim.run(600);
  assert.deepEqual(sim.disagreeing(["w@1:ready"]), []);
});

test("a duplicate of an old announcement does not renew the lease", () => {
  const sim = simulate();
  sim.announce("e1", server("w"));
  sim.run(8_000);
  const answer = sim.announce("e1", server("w"))._unsafeUnwrap();
  assert.ok(answer.lease_ms <= 1_000);
  sim.run(1_300);
  assert.deepEqual(sim.disagreeing([]), []);
});

test("a frozen entry that wakes does not bring back a server that left", () => {
  const sim = simulate();
  const current = renewing(sim, { at: "e1", server: server("w"), ms: 3_000 });
  sim.freeze("e3");
  sim.partition(["e3"]);
  sim.announce("e1", current);
  sim.run(5_000);
  sim.leave("e1", current);
  sim.run(60_000);
  sim.thaw("e3");
  sim.heal();
  sim.run(1_000);
  assert.deepEqual(sim.disagreeing([]), []);
});

test("a server's new start and its end are told apart", () => {
  const sim = simulate();
  const reasons: string[] = [];
  sim.noted = (at, effect) => {
    if (at === "e2" && effect.type === "gone") reasons.push(effect.reason);
  };
  sim.announce("e1", server("w"));
  sim.run(300);
  sim.announce("e3", server("w", { incarnation: 2 }));
  sim.run(300);
  sim.leave("e3", server("w", { incarnation: 2 }));
  sim.run(300);
  sim.announce("e3", server("v"));
  sim.run(10_000);
  assert.deepEqual(reasons, ["restarted", "left", "expired"]);
});

test("reported load and age of servers stay current without changes", () => {
  const sim = simulate();
  sim.announce("e1", server("w"));
  sim.run(3_000);
  sim.announce(
    "e1",
    server("w", { sequence: 2, inFlight: 5, startedMsAgo: 3_000 }),
  );
  sim.run(2_100);
  const [seen] = sim.entry("e2").servers("alloc", sim.now);
  assert.equal(seen?.inFlight, 5);
  assert.ok(Math.abs((seen?.startedMsAgo ?? 0) - 5_100) <= 100);
});

test("an entry that stops is known at once, a silent one after 7 s", () => {
  const sim = simulate();
  sim.carry(
    "e1",
    sim.entry("e1").report({ load: 40, stopping: true }, sim.now),
  );
  sim.run(50);
  const loads = () => sim.entry("e2").entryLoads(sim.now);
  assert.deepEqual(loads().get("e1"), {
    load: 40,
    stopping: true,
    heard: true,
  });
  sim.kill("e1");
  sim.run(7_100);
  assert.equal(loads().get("e1")?.heard, false);
});

test("with relays, records and leaves reach all, also past a frozen relay", () => {
  const dataCentres = ["a", "b", "c"];
  const sim = new Simulation({
    seed: 1,
    entries: entriesIn(18, dataCentres),
    spread: () => new RelaySpread(),
  });
  sim.run(3_000);
  sim.freeze("e5");
  let current = server("w");
  const lost: string[] = [];
  for (let i = 0; i < 6; i++) {
    sim.announce("e1", current);
    sim.run(300);
    sim.run(2_700, () => {
      lost.push(...sim.disagreeing(["w@1:ready"]).filter((id) => id !== "e5"));
    });
    current = { ...current, sequence: current.sequence + 1 };
  }
  assert.deepEqual(lost, []);
  sim.leave("e2", current);
  sim.run(150);
  assert.deepEqual(sim.disagreeing([]), []);
});
