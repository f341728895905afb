import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandomness } from "#model";
import { ANNOUNCEMENT_STATUS, parseLeave } from "./announcements.ts";
import { Presence } from "./presence.ts";
import { entriesAcross, Simulation, server } from "./testing/simulation.ts";

function simulate() {
  const entries = entriesAcross(3, ["riga-a", "riga-b"]);
  return new Simulation({ seed: 1, entries, services: ["alloc", "report"] });
}

for (const [failure, before, announced, expected] of [
  ["a first record is refused", [], {}, 200],
  ["an older incarnation replaces a newer", [{ incarnation: 2 }], {}, 409],
  ["an older record replaces a newer", [{ sequence: 5 }], { sequence: 4 }, 409],
  ["a resent record is refused", [{ sequence: 5 }], { sequence: 5 }, 200],
  ["a new incarnation is refused", [{ sequence: 5 }], { incarnation: 2 }, 200],
  ["a left server is restored", [{ state: "leaving" }], { sequence: 9 }, 410],
  ["a repeated leave fails", [{ state: "leaving" }], { state: "leaving" }, 200],
  [
    "an older incarnation is accepted after a leave",
    [{ incarnation: 3, state: "leaving" }],
    {},
    409,
  ],
  [
    "a restart after a leave is refused",
    [{ state: "leaving" }],
    { incarnation: 2 },
    200,
  ],
  ["an unknown service is accepted", [], { service: "x" }, 404],
] as const) {
  test(`announcement: guards against "${failure}"`, () => {
    const sim = simulate();
    for (const values of before) sim.announce("e1", server("w", values));
    const result = sim.announce("e1", server("w", announced));
    const status = result.isOk() ? 200 : ANNOUNCEMENT_STATUS[result.error.type];
    assert.equal(status, expected);
  });
}

test("registrations and leaves are refused beyond their limits", () => {
  const limits = { servers: 3, serversPerService: 2, tombstones: 1 };
  const presence = new Presence({
    id: "e1",
    incarnation: 1,
    dataCentre: "riga-a",
    randomness: new SeededRandomness(1),
    limits,
  });
  const view = { epoch: 1, entries: [], began: 0 };
  presence.configure({ services: ["alloc", "report"], view }, 0);
  const announce = (id: string, service: string) =>
    presence.announce(server(id, { service }), 0).result.isOk();
  const accepted = [
    announce("a", "alloc"),
    announce("b", "alloc"),
    announce("c", "alloc"),
  ];
  assert.deepEqual(accepted, [true, true, false]);
  assert.deepEqual(
    [announce("a", "report"), announce("b", "report")],
    [true, false],
  );
  const leave = (id: string) =>
    presence.leave({ id, service: "alloc", incarnation: 1 }, 0).result.isOk();
  assert.deepEqual([leave("a"), leave("a"), leave("b")], [true, true, false]);
});

test("a leave without a service finds it by the id if only one has the id", () => {
  const sim = simulate();
  sim.announce("e1", server("w"));
  sim.run(300);
  const leave = (id: string) =>
    sim.entry("e2").leave({ id, incarnation: 1 }, sim.now).result;
  assert.equal(
    leave("x").isErr() && leave("x")._unsafeUnwrapErr().type,
    "unknown_server",
  );
  sim.announce("e1", server("w", { service: "report" }));
  sim.run(300);
  assert.equal(leave("w")._unsafeUnwrapErr().type, "malformed");
  sim.announce("e1", server("v"));
  sim.run(300);
  assert.ok(leave("v").isOk());
});

test("a leave request without a valid incarnation is malformed", () => {
  for (const query of ["", "incarnation=x", "incarnation=-1"]) {
    const parsed = parseLeave("w", new URLSearchParams(query));
    assert.equal(parsed._unsafeUnwrapErr().type, "malformed");
  }
});
