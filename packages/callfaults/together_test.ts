import assert from "node:assert/strict";
import { after, afterEach, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { BackendHandle } from "./backend_handle.ts";
import { CallFaultSite } from "./call_fault_site.ts";
import { countFailures, guaranteeViolations } from "./guarantees.ts";
import { abortLoadGenerators, LoadGenerator } from "./load_generator.ts";

const SERVICE = "alloc";
const SERVERS = 8;
/**
 * Time after the start during which keys still need the holders of the first
 * views, which contain only one or two entries (design 6.3).
 */
const FIRST_VIEWS_MS = 34_000;
/**
 * Longer than the time for which an entry uses a configuration that it cannot
 * confirm (design 6.4), so that the isolated one stops taking calls.
 */
const FAULTS_MS = 4_000;
let site: CallFaultSite;
let servers: BackendHandle[];

before(async () => {
  site = await CallFaultSite.start({
    entries: 5,
    services: { [SERVICE]: {} },
    relays: true,
  });
  servers = await site.addBackends(SERVICE, { count: SERVERS, serviceMs: 20 });
  await sleep(FIRST_VIEWS_MS);
});

// The load of a failed test would go on through the tests after it.
afterEach(abortLoadGenerators);

after(async () => {
  await site?.close();
});

/** Injects all faults at once, each at another host, and repairs them. */
async function injectAllFaults(load: LoadGenerator): Promise<void> {
  const [killed, frozen, resetting, failing, slow, misreporting] = servers;
  const dispatcher = site.dispatcher(SERVICE);
  const [restarted = "", isolated = ""] = site.entryIds.filter(
    (id) => id !== dispatcher,
  );
  await killed?.kill();
  frozen?.signal("SIGSTOP");
  await resetting?.setBehaviour({ resetMidBody: true });
  await failing?.setBehaviour({ failStatus: 500 });
  await slow?.setBehaviour({ slowness: 10 });
  await misreporting?.setBehaviour({ claimedInFlight: 0, slowness: 5 });
  await load.waitForCompleted(100);
  await site.kill(restarted);
  site.processes.signal(dispatcher, "SIGSTOP");
  site.isolate(isolated);
  await sleep(FAULTS_MS);
  site.processes.signal(dispatcher, "SIGCONT");
  site.heal();
  frozen?.signal("SIGCONT");
  await resetting?.setBehaviour({ resetMidBody: false });
  await failing?.setBehaviour({ failStatus: undefined });
  await slow?.setBehaviour({ slowness: 1 });
  await misreporting?.setBehaviour({ claimedInFlight: undefined, slowness: 1 });
  await killed?.start();
  await site.restart(restarted);
  await Promise.all(site.entryIds.map((id) => site.waitUntilReady(id)));
}

for (const suffix of ["", ", and a second time"]) {
  // Guards against guarantees that hold under a single fault but not under
  // several.
  test(`all faults together${suffix} violate no guarantee`, async () => {
    const load = new LoadGenerator({
      service: SERVICE,
      seeds: site.processes.seeds,
    });
    await load.waitForCompleted(150);
    await injectAllFaults(load);
    await load.waitForCompleted(150);
    await load.stop();
    assert.equal(load.calls.length, load.sent, "one final answer each");
    assert.deepEqual(
      guaranteeViolations(load.calls, site.executions()).slice(0, 10),
      [],
    );
    await site.waitForServers(SERVICE, SERVERS);
    // Only failures that the faults can cause; a lookup always gets a response.
    const expectedFailures =
      /^(booking unknown (server_failed|deadline_expired|already_run)|lookup unknown (deadline_expired|server_failed)|(booking|lookup) answered 500)$/;
    const unexpected = Object.keys(countFailures(load.calls)).filter(
      (name) => !expectedFailures.test(name),
    );
    assert.deepEqual(unexpected, []);
  });
}
