import assert from "node:assert/strict";
import { test } from "node:test";
import type { BackendServer } from "#model";
import { RelayDissemination } from "./dissemination.ts";
import type { SummaryMessage } from "./messages.ts";
import type { PresenceMessage } from "./presence.ts";
import { entriesAcross, Simulation, server } from "./testing/simulation.ts";

const DATA_CENTRES = ["riga-a", "riga-b"];
const THREE_ENTRIES = entriesAcross(3, DATA_CENTRES);

function simulate(entries = THREE_ENTRIES) {
  return new Simulation({ seed: 1, entries, services: ["alloc", "report"] });
}

/** Announces a server at an entry every 3 s for `ms` of simulated time. */
function renewPeriodically(
  sim: Simulation,
  options: { at: string; server: BackendServer; ms: number },
): BackendServer {
  let current = options.server;
  for (let elapsedMs = 0; elapsedMs < options.ms; elapsedMs += 3_000) {
    sim.announce(options.at, current);
    sim.run(Math.min(3_000, options.ms - elapsedMs));
    current = { ...current, sequence: current.sequence + 1 };
  }
  return current;
}

test("a starting entry refuses announcements until it knows its peers' lists", () => {
  const sim = simulate();
  sim.kill("e3");
  sim.start("e3");
  const refused = sim.announce("e3", server("w"));
  assert.equal(refused.isErr() && refused.error.type, "not_ready");
  sim.run(1_000);
  assert.ok(sim.announce("e3", server("w")).isOk());
});

test("a silent peer delays the readiness of a starting entry by 3 s only", () => {
  const sim = simulate();
  for (const id of ["e1", "e2"]) sim.kill(id);
  sim.start("e3");
  sim.run(2_500);
  assert.ok(!sim.entry("e3").ready);
  sim.run(600);
  assert.ok(sim.entry("e3").ready);
});

test("a change reaches every entry within 300 ms and a leave within 50 ms", () => {
  const sim = simulate(entriesAcross(18, DATA_CENTRES));
  sim.announce("e1", server("w"));
  sim.run(300);
  assert.deepEqual(sim.entriesNotSeeing(["w@1:ready"]), []);
  sim.announce("e1", server("w", { sequence: 2, state: "unhealthy" }));
  sim.run(300);
  assert.deepEqual(sim.entriesNotSeeing(["w@1:unhealthy"]), []);
  sim.leave("e9", server("w"));
  sim.run(50);
  assert.deepEqual(sim.entriesNotSeeing([]), []);
});

test("a leave that reaches an entry before the record takes effect", () => {
  const sim = simulate();
  sim.announce("e1", server("w"));
  assert.ok(sim.leave("e2", server("w")).isOk());
  sim.run(1_000);
  assert.deepEqual(sim.entriesNotSeeing([]), []);
  const again = sim.announce("e1", server("w", { sequence: 2 }));
  assert.equal(again._unsafeUnwrapErr().type, "already_leaving");
});

test("a leave seen in a response spreads, unless it is of an earlier incarnation", () => {
  const sim = simulate();
  sim.announce("e1", server("w", { incarnation: 2 }));
  sim.run(300);
  const observeLeaving = (incarnation: number) =>
    sim.applyEffects(
      "e3",
      sim
        .entry("e3")
        .observeLeaving({ service: "alloc", id: "w", incarnation }, sim.now),
    );
  observeLeaving(1);
  sim.run(300);
  assert.deepEqual(sim.entriesNotSeeing(["w@2:ready"]), []);
  observeLeaving(2);
  sim.run(50);
  assert.deepEqual(sim.entriesNotSeeing([]), []);
});

test("a lost change is repaired within 3 s", () => {
  const sim = simulate();
  sim.network = { loss: 1, duplication: 0, maxDelayMs: 0 };
  sim.announce("e1", server("w"));
  sim.leave("e1", server("v"));
  sim.run(250);
  sim.network = { loss: 0, duplication: 0, maxDelayMs: 0 };
  sim.run(2_700);
  assert.deepEqual(sim.entriesNotSeeing(["w@1:ready"]), []);
  assert.ok(sim.announce("e2", server("v")).isErr());
});

test("a third entry relays lists between two that cannot connect", () => {
  const sim = simulate();
  sim.dropTraffic("e1", "e2");
  let current = renewPeriodically(sim, {
    at: "e1",
    server: server("w"),
    ms: 3_000,
  });
  assert.deepEqual(sim.entriesNotSeeing(["w@1:ready"]), []);
  current = renewPeriodically(sim, { at: "e1", server: current, ms: 30_000 });
  assert.deepEqual(sim.entriesNotSeeing(["w@1:ready"]), []);
  sim.leave("e1", current);
  sim.run(3_000);
  assert.deepEqual(sim.entriesNotSeeing([]), []);
});

test("a leave arrives within 3 s although a connection has just failed", () => {
  const sim = simulate(entriesAcross(5, DATA_CENTRES));
  const current = renewPeriodically(sim, {
    at: "e1",
    server: server("w"),
    ms: 6_000,
  });
  sim.dropTraffic("e1", "e2");
  sim.leave("e1", current);
  sim.run(3_000);
  assert.deepEqual(sim.entriesNotSeeing([]), []);
});

test("a crashed server's lease expires everywhere 9 s after its announcement", () => {
  const sim = simulate();
  renewPeriodically(sim, { at: "e1", server: server("w"), ms: 30_000 });
  sim.run(5_800);
  assert.deepEqual(sim.entriesNotSeeing(["w@1:ready"]), []);
  sim.run(500);
  assert.deepEqual(sim.entriesNotSeeing([]), []);
});

test("the crash of an entry does not extend its servers' leases", () => {
  const sim = simulate();
  renewPeriodically(sim, { at: "e1", server: server("w"), ms: 6_000 });
  sim.kill("e1");
  sim.run(5_000);
  assert.deepEqual(sim.entriesNotSeeing(["w@1:ready"]), []);
  sim.run(1_200);
  assert.deepEqual(sim.entriesNotSeeing([]), []);
});

test("a restarted entry removes no servers and relearns records and leaves", () => {
  const sim = simulate();
  const current = renewPeriodically(sim, {
    at: "e1",
    server: server("w"),
    ms: 3_000,
  });
  sim.leave("e1", server("v"));
  sim.run(50);
  sim.start("e1");
  sim.run(1_000);
  assert.deepEqual(sim.entriesNotSeeing(["w@1:ready"]), []);
  sim.announce("e1", current);
  sim.announce("e1", server("v", { sequence: 2 }));
  sim.run(3_000);
  assert.deepEqual(sim.entriesNotSeeing(["w@1:ready"]), []);
});

test("a leave is kept after the entry that accepted it is gone", () => {
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
  assert.deepEqual(sim.entriesNotSeeing([]), []);
});

test("a message buffered by a frozen process does not renew a full lease", () => {
  const sim = simulate();
  sim.freeze("e3");
  sim.announce("e1", server("w"));
  sim.run(300);
  sim.freeze("e1");
  sim.run(2_700);
  sim.unfreeze("e3");
  sim.run(500);
  assert.deepEqual(sim.visibleServers("e3"), ["w@1:ready"]);
  sim.run(6_000);
  assert.deepEqual(sim.visibleServers("e3"), []);
});

test("a duplicated summary does not renew leases again", () => {
  const sim = simulate();
  const summaries: PresenceMessage[] = [];
  sim.announce("e1", server("w"));
  sim.onSend = (from, { to, kind, payload }) => {
    if (from !== "e1" || to !== "e2" || kind !== "presence_summaries") return;
    summaries.push({ kind, payload });
  };
  sim.run(7_900);
  sim.kill("e1");
  const first = summaries[0];
  assert.ok(first);
  sim.applyEffects("e2", sim.entry("e2").receive("e1", first, sim.now));
  sim.run(1_500);
  assert.deepEqual(sim.visibleServers("e2"), []);
});

test("the time for which a relay held a summary is added to the ages", () => {
  const sim = simulate();
  let last: SummaryMessage | undefined;
  sim.announce("e1", server("w"));
  sim.onSend = (from, { to, kind, payload }) => {
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
  sim.applyEffects("e2", sim.entry("e2").receive("e3", message, sim.now));
  sim.run(100);
  assert.deepEqual(
    [sim.visibleServers("e2"), sim.visibleServers("e3")],
    [[], ["w@1:ready"]],
  );
});

test("a partitioned data centre keeps records until their leases expire", () => {
  const sim = simulate(entriesAcross(6, DATA_CENTRES));
  sim.announce("e1", server("a"));
  sim.announce("e2", server("b"));
  sim.run(300);
  sim.partition(["e2", "e4", "e6"]);
  sim.run(8_000);
  assert.deepEqual(sim.visibleServers("e4"), ["a@1:ready", "b@1:ready"]);
  sim.announce("e2", server("b", { sequence: 2 }));
  sim.run(3_000);
  assert.deepEqual(
    [sim.visibleServers("e4"), sim.visibleServers("e3")],
    [["b@1:ready"], []],
  );
  sim.heal();
  sim.run(3_000);
  assert.deepEqual(sim.entriesNotSeeing(["b@1:ready"]), []);
});

test("a delayed announcement to another entry does not replace a newer one", () => {
  const sim = simulate();
  sim.announce("e1", server("w"));
  sim.run(300);
  // Renewals reach the others in summaries, without their sequence numbers.
  sim.announce("e1", server("w", { sequence: 4 }));
  sim.announce("e2", server("w", { sequence: 2, state: "unhealthy" }));
  sim.run(600);
  assert.deepEqual(sim.entriesNotSeeing(["w@1:ready"]), []);
});

test("a duplicate of an old announcement does not renew the lease", () => {
  const sim = simulate();
  sim.announce("e1", server("w"));
  sim.run(8_000);
  const response = sim.announce("e1", server("w"))._unsafeUnwrap();
  assert.ok(response.lease_ms <= 1_000);
  sim.run(1_300);
  assert.deepEqual(sim.entriesNotSeeing([]), []);
});

test("an entry that resumes does not restore a server that has left", () => {
  const sim = simulate();
  const current = renewPeriodically(sim, {
    at: "e1",
    server: server("w"),
    ms: 3_000,
  });
  sim.freeze("e3");
  sim.partition(["e3"]);
  sim.announce("e1", current);
  sim.run(5_000);
  sim.leave("e1", current);
  sim.run(60_000);
  sim.unfreeze("e3");
  sim.heal();
  sim.run(1_000);
  assert.deepEqual(sim.entriesNotSeeing([]), []);
});

test("restart, leave and expiry of a server are reported as such", () => {
  const sim = simulate();
  const reasons: string[] = [];
  sim.onOtherEffect = (at, effect) => {
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

test("summaries keep the load and age of servers current", () => {
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

test("peers learn of a stopping entry at once, of a silent one after 7 s", () => {
  const sim = simulate();
  sim.applyEffects(
    "e1",
    sim.entry("e1").reportLoad({ load: 40, stopping: true }, sim.now),
  );
  sim.run(50);
  const loads = () => sim.entry("e2").entryLoads(sim.now);
  assert.deepEqual(loads().get("e1"), {
    load: 40,
    stopping: true,
    reachable: true,
  });
  sim.kill("e1");
  sim.run(7_100);
  assert.equal(loads().get("e1")?.reachable, false);
});

test("records and leaves reach all entries despite a frozen relay", () => {
  const dataCentres = ["a", "b", "c"];
  const sim = new Simulation({
    seed: 1,
    entries: entriesAcross(18, dataCentres),
    dissemination: () => new RelayDissemination(),
  });
  sim.run(3_000);
  sim.freeze("e5");
  let current = server("w");
  const missing: string[] = [];
  for (let i = 0; i < 6; i++) {
    sim.announce("e1", current);
    sim.run(300);
    sim.run(2_700, () => {
      missing.push(
        ...sim.entriesNotSeeing(["w@1:ready"]).filter((id) => id !== "e5"),
      );
    });
    current = { ...current, sequence: current.sequence + 1 };
  }
  assert.deepEqual(missing, []);
  sim.leave("e2", current);
  sim.run(150);
  assert.deepEqual(sim.entriesNotSeeing([]), []);
});
