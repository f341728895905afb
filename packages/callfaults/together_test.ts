import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Backend } from "./backend.ts";
import { CallSite } from "./call_site.ts";
import { endLoads, Load } from "./load.ts";
import { brokenPromises, unusual } from "./promises.ts";

const SERVICE = "alloc";
const SERVERS = 8;
/** Younger keys need holders of the first views, of one or two entries (6.3). */
const FIRST_VIEWS_MS = 34_000;
let site: CallSite;
let servers: Backend[];

before(async () => {
  site = await CallSite.start({
    entries: 5,
    services: { [SERVICE]: {} },
    relays: true,
  });
  servers = await site.addBackends(SERVICE, { count: SERVERS, serviceMs: 20 });
  await sleep(FIRST_VIEWS_MS);
});

after(async () => {
  endLoads();
  await site?.close();
});

/** All faults at once, each at another server or entry; then the repair. */
async function breakAll(load: Load): Promise<void> {
  const [killed, frozen, resetting, failing, slow, lying] = servers;
  const dispatcher = site.dispatcher(SERVICE);
  const [dying = "", cutOff = ""] = site.entryIds.filter(
    (id) => id !== dispatcher,
  );
  await killed?.kill();
  frozen?.signal("SIGSTOP");
  await resetting?.behave({ resetMidBody: true });
  await failing?.behave({ failStatus: 500 });
  await slow?.behave({ slowness: 10 });
  await lying?.behave({ claimedInFlight: 0, slowness: 5 });
  await load.further(100);
  await site.kill(dying);
  site.processes.signal(dispatcher, "SIGSTOP");
  site.isolate(cutOff);
  await sleep(4_000);
  site.processes.signal(dispatcher, "SIGCONT");
  site.heal();
  frozen?.signal("SIGCONT");
  await resetting?.behave({ resetMidBody: false });
  await failing?.behave({ failStatus: undefined });
  await slow?.behave({ slowness: 1 });
  await lying?.behave({ claimedInFlight: undefined, slowness: 1 });
  await killed?.start();
  await site.restart(dying);
  await Promise.all(site.entryIds.map((id) => site.isReady(id)));
}

for (const time of ["", ", and a second time"]) {
  // Guards against promises that hold for one fault and break under several.
  test(`all faults together${time} break no promise`, async () => {
    const load = new Load({ service: SERVICE, seeds: site.processes.seeds });
    await load.further(150);
    await breakAll(load);
    await load.further(150);
    await load.stop();
    assert.equal(load.calls.length, load.sent, "one final answer each");
    assert.deepEqual(brokenPromises(load.calls, site.runs()).slice(0, 10), []);
    await site.serversKnown(SERVICE, SERVERS);
    // Only what the faults explain; a lookup is never left without an answer.
    const explained =
      /^(booking unknown (server_failed|deadline_expired|already_run)|lookup unknown (deadline_expired|server_failed)|(booking|lookup) answered 500)$/;
    const rest = Object.keys(unusual(load.calls)).filter(
      (name) => !explained.test(name),
    );
    assert.deepEqual(rest, []);
  });
}
