import assert from "node:assert/strict";
import { test } from "node:test";
import {
  AddressProofs,
  decideAddress,
  type Identity,
} from "./address_proofs.ts";
import { Effects } from "./effects.ts";
import { server } from "./testing/simulation.ts";

// Guards against a sound server that an announced address displaces, and against a
// server that is not used at the address where it has started again.
for (const [isNewer, identity, knownIdentity, expected] of [
  [true, "same", "same", true],
  [true, "same", undefined, true],
  [true, "unknown", "unknown", true],
  [true, "unknown", "other", true],
  [true, "unknown", "same", false],
  [true, "other", "unknown", false],
  [true, undefined, "same", undefined],
  [true, "unknown", undefined, undefined],
  [false, "same", "unknown", true],
  [false, "same", "other", true],
  [false, "same", "same", false],
  [false, "unknown", "unknown", false],
  [false, "other", "other", false],
  [false, "same", undefined, undefined],
] as const) {
  const age = isNewer ? "newer" : "older";
  const name = `${age}, answers ${identity}, known one ${knownIdentity}`;
  const about = { isNewer, identity, knownIdentity };
  test(`an address that is ${name}: ${expected}`, () => {
    const announced = { ...about, isSameStart: false };
    assert.equal(decideAddress(announced), expected);
  });
  // Guards against an overloaded server, whose checks are late, that is displaced.
  const areBothLate = identity === "unknown" && knownIdentity === "unknown";
  const ofSameStart = areBothLate ? false : expected;
  test(`an address of the same start that is ${name}: ${ofSameStart}`, () => {
    const announced = { ...about, isSameStart: true };
    assert.equal(decideAddress(announced), ofSameStart);
  });
}

/** Number of checks that a request causes. */
function checks(proofs: AddressProofs, now: number, port = 1): number {
  const effects = new Effects();
  const address = { host: "10.0.0.1", port };
  proofs.request(server("w", { address }), { now, effects });
  return effects.list().length;
}

// Guards against a check for each heartbeat that another program sends.
for (const [identity, ttlMs] of [
  ["same", 9_000],
  ["other", 1_000],
  ["unknown", 1_000],
] as [Identity, number][]) {
  test(`an address that answered ${identity} is checked again after ${ttlMs} ms`, () => {
    const proofs = new AddressProofs();
    const address = { host: "10.0.0.1", port: 1 };
    const claimed = server("w", { address });
    assert.equal(checks(proofs, 0), 1);
    assert.equal(checks(proofs, 100), 0);
    proofs.record(claimed, identity, 200);
    assert.equal(checks(proofs, 199 + ttlMs), 0);
    assert.equal(proofs.fresh(claimed, 199 + ttlMs), identity);
    assert.equal(proofs.fresh(claimed, 200 + ttlMs), undefined);
    assert.equal(proofs.last(claimed), identity);
    assert.equal(checks(proofs, 200 + ttlMs), 1);
  });
}

// Guards against an address that is never checked again after a lost result.
test("a check without a result is repeated", () => {
  const proofs = new AddressProofs();
  assert.equal(checks(proofs, 0), 1);
  assert.equal(checks(proofs, 2_000), 1);
});

// Guards against memory that grows with each address that is made up.
test("the oldest addresses are forgotten", () => {
  const proofs = new AddressProofs();
  for (let port = 1; port <= 1_001; port++) checks(proofs, 0, port);
  assert.equal(checks(proofs, 1, 1_001), 0);
  assert.equal(checks(proofs, 1, 1), 1);
});
