import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { CallFaultSite } from "./call_fault_site.ts";
import { stopAndCheck } from "./guarantees.ts";
import { abortLoadGenerators, LoadGenerator } from "./load_generator.ts";

const SERVICE = "alloc";
let site: CallFaultSite;

before(async () => {
  site = await CallFaultSite.start({ entries: 4, services: { [SERVICE]: {} } });
  await site.addBackends(SERVICE, { count: 4, serviceMs: 20 });
});

after(async () => {
  abortLoadGenerators();
  await site?.close();
});

// Guards against graceful stops that break off calls or lose claims of keys.
test("a rolling restart of all entries with SIGTERM breaks off no call", async () => {
  const load = new LoadGenerator({
    service: SERVICE,
    seeds: site.processes.seeds,
    rate: 90,
    retryForMs: 3_000,
  });
  await load.waitForCompleted(90);
  for (const id of site.entryIds) {
    site.processes.signal(id, "SIGTERM");
    await site.processes.waitForExit(id);
    await site.restart(id);
  }
  await load.waitForCompleted(90);
  const cutOff = load.calls.filter(({ attempts }) =>
    attempts.some(({ requestId }) => requestId === undefined),
  );
  assert.deepEqual(cutOff.slice(0, 3), []);
  // Also fails if a booking fails because a restarted entry lost its claims.
  await stopAndCheck(load, { executions: () => site.executions() });
});
