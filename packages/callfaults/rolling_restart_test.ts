import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { CallSite } from "./call_site.ts";
import { endLoads, Load } from "./load.ts";
import { checkLoad } from "./promises.ts";

const SERVICE = "alloc";
let site: CallSite;

before(async () => {
  site = await CallSite.start({ entries: 4, services: { [SERVICE]: {} } });
  await site.addBackends(SERVICE, { count: 4, serviceMs: 20 });
});

after(async () => {
  endLoads();
  await site?.close();
});

// Guards against planned stops that cut calls off or lose work.
test("all entries restart by SIGTERM, one after the other, and cut no call", async () => {
  const load = new Load({
    service: SERVICE,
    seeds: site.processes.seeds,
    rate: 90,
    giveUpMs: 3_000,
  });
  await load.further(90);
  for (const id of site.entryIds) {
    site.processes.signal(id, "SIGTERM");
    await site.processes.waitForExit(id);
    await site.restart(id);
  }
  await load.further(90);
  const cut = load.calls.filter(({ attempts }) =>
    attempts.some(({ requestId }) => requestId === undefined),
  );
  assert.deepEqual(cut.slice(0, 3), []);
  // Nor does a booking fail because a restarted entry forgot its claims.
  await checkLoad(load, { runs: () => site.runs() });
});
