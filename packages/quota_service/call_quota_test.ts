import assert from "node:assert/strict";
import { test } from "node:test";
import type { Call } from "#model";
import type { QuotaDecision } from "#quotas";
import { CallQuota } from "./call_quota.ts";
import type { TenantQuotas } from "./tenant_quotas.ts";

const CALL = { access: { tenant: "t" } } as Call;
const BASIS = { ratePerS: 1, owner: undefined, ageMs: undefined };

function createQuota(taken: ReturnType<TenantQuotas["take"]>) {
  const returned: [string, number][] = [];
  const quotas = {
    take: () => taken,
    giveBack: (...token: [string, number]) => returned.push(token),
  } as unknown as TenantQuotas;
  return { quota: new CallQuota({ quotas }), returned };
}

test("a token is given back once, and only if there is one", () => {
  const { quota, returned } = createQuota({
    type: "admitted",
    usableUntil: 7,
  });
  quota.giveBack();
  assert.equal(quota.take(CALL), undefined);
  quota.giveBack();
  quota.giveBack();
  assert.deepEqual(returned, [["t", 7]]);
});

test("a call without a tenant takes no token", () => {
  const { quota, returned } = createQuota({ type: "admitted", usableUntil: 7 });
  assert.equal(quota.take({ access: {} } as Call), undefined);
  quota.giveBack();
  assert.deepEqual(returned, []);
});

// Guards against a 429 where no owner has judged, which callers take for their fault.
test("a refusal over the quota is 429, one without an owner 503", async () => {
  const refusal = (type: "refused" | "unavailable"): QuotaDecision => {
    return { type, retryAfterMs: 30, basis: BASIS };
  };
  const over = createQuota(Promise.resolve(refusal("refused")));
  const fault = await over.quota.take(CALL);
  assert.equal(fault?.code, "quota_exceeded");
  assert.equal(fault?.retryAfterMs, 30);
  assert.equal(fault?.outcome, "not-run");
  const without = createQuota(refusal("unavailable"));
  const other = await without.quota.take(CALL);
  assert.equal(other?.code, "not_ready");
  over.quota.giveBack();
  assert.deepEqual(over.returned, []);
});
