/** One invalid configuration is sent; no process may end because of it. */
import { dirname } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
  getConfiguration,
  limitsItem,
  patch,
  patchOnce,
  patchText,
  request,
  routeItem,
  runCase,
  serviceItem,
  Worker,
  waitFor,
} from "../lib-3/site.mjs";

const HOST = "ficu95.example";
/** Entries without any field; together with the text around them 1 MB. */
const ENTRIES = 333_000;
/** Tries of the operator: a call without a clear answer goes to the next machine. */
const TRIES = 6;
/** Pause after a try, which grows with each. */
const BACK_OFF_MS = 200;
/** Large bodies get more time than a second. */
const LARGE_BODY_TIMEOUT_MS = 10_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (about) => {
  const { site, record, workers, hasTrouble } = about;
  await site.start({ controls: 3, machines: 4 });
  const items = [
    serviceItem("alloc", 7),
    routeItem("r-1", {
      version: 7,
      host: HOST,
      prefix: "/lohu930/",
      service: "alloc",
    }),
    limitsItem(7),
  ];
  const first = await patch(site, patchText(items), { forMs: 20_000 });
  record.line(`first configuration: ${first.status ?? first.error}`);
  if (first.status !== 200)
    return "not run: the first configuration was not accepted";
  const worker = new Worker(site, record, { id: "i-1", service: "alloc" });
  workers.push(worker);
  await worker.start();
  const entry = site.machines[3];
  const serves = async () =>
    (await request(site, entry, { host: HOST, path: "/lohu930/1" })).isServed;
  if (!(await waitFor(serves, 20_000))) return "not run: no request is served";
  if (site.ownEnds.length > 0)
    return "not run: a process ended before the disruption";

  // The same with few entries is refused, as the pages ask.
  const small = patchText(Array.from({ length: 100 }, () => ({})));
  const refused = await patchOnce(site, site.controls[0], small);
  record.line(
    `invalid configuration of ${small.length} bytes: ${refused.status ?? refused.error}`,
  );
  if (refused.status !== 400)
    return "not run: the small invalid configuration was not refused";

  if (hasTrouble) {
    const text = patchText(Array.from({ length: ENTRIES }, () => ({})));
    for (let turn = 0; turn < TRIES; turn++) {
      const machine = site.controls[turn % site.controls.length];
      const answer = await patchOnce(site, machine, text, {
        timeoutMs: LARGE_BODY_TIMEOUT_MS,
      });
      record.line(
        `invalid configuration of ${text.length} bytes to ${machine.ip}: ${answer.status ?? answer.error}`,
      );
      // 400 ends a call at once; without a clear answer it goes to the next machine.
      if (answer.status !== undefined && answer.status < 500) break;
      await delay(BACK_OFF_MS * (turn + 1));
    }
  }
  await delay(2_000);
  const read = await waitFor(
    async () => (await getConfiguration(site, site.controls[0])).status === 200,
    10_000,
  );
  record.line(`configuration read back afterwards: ${read}`);
  const ends = site.ownEnds.map(({ machine, role }) => `${machine} ${role}`);
  record.line(
    `processes that ended by themselves: ${ends.length} (${ends.join(", ")})`,
  );
  // The rule counts three ends on half of the core.
  return ends.length >= 3 && new Set(ends).size >= 2
    ? `broken: processes ended by themselves ${ends.length} times, ${new Set(ends).size} of 3 of control`
    : "held: no process ended";
});
