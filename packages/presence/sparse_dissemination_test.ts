import assert from "node:assert/strict";
import { test } from "node:test";
import type { HostId, View } from "#model";
import {
  entriesAcross,
  linkedByRelays,
  relayIds,
  Simulation,
  server,
} from "./testing/simulation.ts";
import { LEASE_MS, RENEW_INTERVAL_MS } from "./timings.ts";

const DATA_CENTRES = ["a", "b", "c", "d", "e", "f"];
const ENTRIES = 180;
const REGISTRARS = { "control-a": "a", "control-b": "b", "control-c": "c" };
/** Bounds for an entry that is no relay; a mesh sends 90 messages a second. */
const MAX_MESSAGES_PER_S = 20;

function largeSite(): { sim: Simulation; relays: HostId[] } {
  const entries = entriesAcross(ENTRIES, DATA_CENTRES);
  let view: View | undefined;
  const linked = linkedByRelays();
  const sim = new Simulation({
    seed: 1,
    entries,
    registrars: REGISTRARS,
    linked: (known, a, b) => {
      view ??= known;
      return linked(known, a, b);
    },
  });
  sim.run(3_000);
  return { sim, relays: view ? [...relayIds(view)] : [] };
}

/** Renews a server's lease until the given time has passed. */
function renewFor(sim: Simulation, options: { at: HostId; ms: number }): void {
  const { at, ms } = options;
  for (let passed = 0; passed < ms; passed += RENEW_INTERVAL_MS) {
    const sequence = 2 + Math.round(sim.now / RENEW_INTERVAL_MS);
    sim.announce(at, server("w", { sequence }));
    sim.run(RENEW_INTERVAL_MS);
  }
}

test("servers of a registrar reach all entries and stay known", () => {
  const { sim } = largeSite();
  sim.announce("control-a", server("w"));
  sim.run(500);
  assert.deepEqual(
    sim.entriesNotSeeing(["w@1:ready"]).filter((id) => !(id in REGISTRARS)),
    [],
  );
  renewFor(sim, { at: "control-a", ms: 2 * LEASE_MS });
  assert.deepEqual(
    sim.entriesNotSeeing(["w@1:ready"]).filter((id) => !(id in REGISTRARS)),
    [],
  );
});

test("servers of an entry stay known in all data centres", () => {
  const { sim, relays } = largeSite();
  const member = [...sim.entries.keys()].find((id) => !relays.includes(id));
  assert.ok(member);
  sim.announce(member, server("w"));
  renewFor(sim, { at: member, ms: 2 * LEASE_MS });
  assert.deepEqual(
    sim.entriesNotSeeing(["w@1:ready"]).filter((id) => !(id in REGISTRARS)),
    [],
  );
  sim.leave(member, server("w"));
  sim.run(500);
  assert.deepEqual(
    sim.entriesNotSeeing([]).filter((id) => !(id in REGISTRARS)),
    [],
  );
});

// Guards against a data centre that learns nothing while one of its relays is
// frozen and still counts as connected.
test("servers stay known while a relay of each data centre is frozen", () => {
  const { sim, relays } = largeSite();
  const frozen = DATA_CENTRES.map((name) =>
    relays.find((id) => entriesAcross(ENTRIES, DATA_CENTRES)[id] === name),
  );
  for (const id of frozen) sim.freeze(id ?? "");
  sim.announce("control-a", server("w"));
  renewFor(sim, { at: "control-a", ms: 2 * LEASE_MS });
  const missing = sim
    .entriesNotSeeing(["w@1:ready"])
    .filter((id) => !(id in REGISTRARS) && !frozen.includes(id));
  assert.deepEqual(missing, []);
});

test("an entry gets the loads of its data centre in a few messages", () => {
  const { sim, relays } = largeSite();
  sim.announce("control-a", server("w"));
  const received = new Map<HostId, number>();
  sim.onSend = (_from, { to }) => {
    received.set(to, (received.get(to) ?? 0) + 1);
  };
  const seconds = 6;
  renewFor(sim, { at: "control-a", ms: seconds * 1_000 });
  const members = [...sim.entries.keys()].filter(
    (id) => !relays.includes(id) && !(id in REGISTRARS),
  );
  for (const id of members) {
    const perSecond = (received.get(id) ?? 0) / seconds;
    assert.ok(perSecond < MAX_MESSAGES_PER_S, `${id}: ${perSecond}/s`);
    const loads = sim.entry(id).entryLoads(sim.now);
    const reachable = [...loads.values()].filter((load) => load.reachable);
    assert.equal(reachable.length >= ENTRIES, true, `${id}: all are usable`);
  }
});
