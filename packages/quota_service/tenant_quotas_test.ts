import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { EMPTY_CONFIGURATION } from "#configuration";
import {
  type Configuration,
  type Entry,
  ManualClock,
  SeededRandomness,
  type Tenant,
} from "#model";
import type { QuotaMessages } from "#quotas";
import { type Logger, Metrics } from "#telemetry";
import type { Network } from "#wire";
import { TenantQuotas } from "./tenant_quotas.ts";

const SELF = "entry-1";
/** After the time in which a new process gives no votes. */
const VOTES_AFTER_MS = 2_000;

function createQuotas(tenants: readonly Tenant[]) {
  const clock = new ManualClock(1_000);
  const metrics = new Metrics();
  const lines: unknown[] = [];
  let sent = 0;
  const network: Network<QuotaMessages> = {
    send: () => {
      sent++;
      return true;
    },
    broadcast: () => undefined,
    handle: () => undefined,
  };
  const quotas = new TenantQuotas({
    self: SELF,
    incarnation: 1,
    clock,
    randomness: new SeededRandomness(1),
    logger: {
      info: (message: string, fields: unknown) => lines.push(message, fields),
      error: (message: string, fields: unknown) => lines.push(message, fields),
    } as unknown as Logger,
    metrics: metrics.quotas,
    network,
    confirmationAgeMs: () => 0,
  });
  clock.advance(VOTES_AFTER_MS);
  const entry = { id: SELF, state: "ready" } as Entry;
  const { document } = EMPTY_CONFIGURATION;
  const configuration: Configuration = {
    ...EMPTY_CONFIGURATION,
    view: { epoch: 1, began: 0, entries: [entry] },
    document: { ...document, tenants },
  };
  quotas.configure(configuration);
  return { quotas, metrics, lines, sent: () => sent };
}

test("a tenant without a rate takes no part", async () => {
  const { quotas, sent } = createQuotas([{ name: "t", keyHashes: [] }]);
  assert.equal(quotas.take("t"), undefined);
  assert.equal(quotas.take("unknown"), undefined);
  await delay(5);
  assert.equal(sent(), 0);
  quotas.close();
});

// Guards against messages of an entry to itself, and refusals that nobody can explain.
test("an entry that is the owner grants its own tokens without a message", async () => {
  const tenant = { name: "t", keyHashes: ["hash"], ratePerS: 2, burst: 1 };
  const { quotas, metrics, lines, sent } = createQuotas([tenant]);
  await delay(20);
  const decisions = await Promise.all(
    Array.from({ length: 30 }, () => quotas.take("t")),
  );
  const admitted = decisions.filter((taken) => taken?.type === "admitted");
  assert.ok(admitted.length > 0 && admitted.length < 25, `${admitted.length}`);
  assert.equal(decisions.at(-1)?.type, "refused");
  assert.equal(sent(), 0);
  const text = await metrics.text();
  const counted = `{tenant="t",decision="over_quota"} ${30 - admitted.length}`;
  assert.ok(text.includes(`mangobank_quota_requests_total${counted}`), text);
  const [message, fields] = lines;
  assert.equal(message, "request refused by a quota");
  const { ratePerS, owner } = fields as { ratePerS: number; owner: string };
  assert.deepEqual({ ratePerS, owner }, { ratePerS: 2, owner: SELF });
  assert.ok(!JSON.stringify(lines).includes("hash"));
  quotas.close();
});

test("a token in hand is taken without a promise, and may be given back", async () => {
  const tenant = { name: "t", keyHashes: [], ratePerS: 100, burst: 100 };
  const { quotas } = createQuotas([tenant]);
  await delay(20);
  const first = await quotas.take("t");
  assert.ok(first?.type === "admitted");
  quotas.giveBack("t", first.usableUntil);
  const second = quotas.take("t");
  assert.ok(!(second instanceof Promise) && second?.type === "admitted");
  quotas.close();
});

test("tenants beyond the labelled ones are counted together", async () => {
  const tenants = Array.from({ length: 250 }, (_, i) => `t${i}`);
  const metrics = new Metrics();
  metrics.quotas.configure(tenants);
  for (const tenant of tenants) metrics.quotas.record(tenant, "admitted");
  const text = await metrics.text();
  assert.equal(text.match(/^mangobank_quota_requests_total\{/gm)?.length, 201);
  assert.match(text, /tenant="other",decision="admitted"\} 50$/m);
  metrics.quotas.configure([]);
  metrics.quotas.record("t1", "admitted");
  assert.doesNotMatch(await metrics.text(), /tenant="t1"/);
});
