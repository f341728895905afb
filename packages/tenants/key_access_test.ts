import assert from "node:assert/strict";
import { test } from "node:test";
import type { Tenant } from "#model";
import { KeyAccess } from "./key_access.ts";

const REVOKE_MS = 5_000;
const hashKey = (key: string) => `hash of ${key}`;

function tenant(name: string, ...keys: string[]): Tenant {
  return { name, keyHashes: keys.map(hashKey) };
}

function at(ms: number) {
  return { steady: ms, wall: ms };
}

function accessOf(tenants: readonly Tenant[] | undefined, askedAt = 0) {
  const access = new KeyAccess({ revokeMs: REVOKE_MS, hashKey });
  access.configure(tenants);
  access.confirm(at(askedAt));
  return access;
}

function code(
  access: KeyAccess,
  request: { key?: string; isPublic?: boolean },
  ms: number,
) {
  const { key, isPublic = false } = request;
  const decision = access.authorize({ key, isPublic }, at(ms));
  return decision.isErr()
    ? decision.error.code
    : (decision.value?.access.tenant ?? "open");
}

test("no key is needed without tenants", () => {
  assert.equal(code(accessOf(undefined), {}, 10), "open");
});

test("a key selects its tenant", () => {
  const access = accessOf([tenant("a", "k1", "k2"), tenant("b", "k3")]);
  assert.equal(code(access, { key: "k2" }, 10), "a");
  assert.equal(code(access, { key: "k3" }, 10), "b");
});

test("unknown and missing keys are refused, and public routes are open", () => {
  const access = accessOf([tenant("a", "k1")]);
  assert.equal(code(access, { key: "k9" }, 10), "unauthorized");
  assert.equal(code(access, {}, 10), "unauthorized");
  assert.equal(code(access, { key: "k9", isPublic: true }, 10), "open");
});

test("removing the last tenant does not open the routes", () => {
  const access = accessOf([tenant("a", "k1")]);
  access.configure([]);
  assert.equal(code(access, { key: "k1" }, 10), "unauthorized");
});

test("an unknown key is refused for good only by a current configuration", () => {
  const access = accessOf([tenant("a", "k1")]);
  assert.equal(code(access, { key: "k9" }, 1_900), "unauthorized");
  assert.equal(code(access, { key: "k9" }, 2_100), "not_ready");
});

test("an entry that was cut off serves no keys once a removal binds", () => {
  const access = accessOf([tenant("a", "k1")]);
  assert.equal(code(access, { key: "k1" }, 4_400), "a");
  assert.equal(code(access, { key: "k1" }, 4_600), "not_ready");
  assert.equal(code(access, { isPublic: true }, 4_600), "open");
});

test("a call that waited is not sent after its key was removed or moved", () => {
  const access = accessOf([tenant("a", "k1"), tenant("b", "k2")]);
  const waiting = { tenant: "a", keyHash: hashKey("k1") };
  assert.equal(access.recheck(waiting, at(10)).isOk(), true);
  access.configure([tenant("a"), tenant("b", "k1", "k2")]);
  const moved = access.recheck(waiting, at(20));
  assert.equal(moved.isErr() && moved.error.code, "not_ready");
  access.configure([tenant("a"), tenant("b", "k2")]);
  const removed = access.recheck(waiting, at(30));
  assert.equal(removed.isErr() && removed.error.code, "unauthorized");
});

// Guards against a call without a key that was queued before the first tenants came.
test("a call that waited since before the first tenants is not sent", () => {
  const access = accessOf(undefined);
  assert.equal(access.recheck(undefined, at(10)).isOk(), true);
  access.configure([tenant("a", "k1")]);
  const late = access.recheck(undefined, at(20));
  assert.equal(late.isErr() && late.error.code, "not_ready");
});

test("a call that waited past the lease is refused as not run", () => {
  const access = accessOf([tenant("a", "k1")]);
  const waiting = { tenant: "a", keyHash: hashKey("k1") };
  const late = access.recheck(waiting, at(4_600));
  assert.equal(late.isErr() && late.error.code, "not_ready");
  assert.equal(late.isErr() && late.error.outcome, "not-run");
});
