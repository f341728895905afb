/**
 * An order that a frozen machine has not answered is resent to another machine, and is
 * followed by the opposite order. The machine wakes and must not carry the old one out.
 */
import { dirname } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
  limitsItem,
  orderZone,
  patch,
  patchText,
  request,
  routeItem,
  runCase,
  serviceItem,
  Worker,
  waitFor,
} from "../lib-3/site.mjs";

const HOST = "ficu95.example";
const ZONE = "zone-0";
/** Length of the freeze: the dose of `node_freeze` in the site files. */
const FREEZE_MS = 4_000;
const EVACUATE_MS = 5_000;
/** The core counts as stable again so long after the machine has woken. */
const CONTACT_WINDOW_MS = 3_000;
const CHECKED_MS = 10_000;

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
  for (const [id, zone] of [
    ["i-a", ZONE],
    ["i-b", "zone-1"],
    ["i-c", "zone-2"],
  ]) {
    const worker = new Worker(site, record, { id, service: "alloc", zone });
    workers.push(worker);
    await worker.start();
  }
  const [evacuated] = workers;
  /** Times at which requests were sent, by id. */
  const sentAt = new Map();
  const send = async () => {
    for (const machine of site.machines) {
      const at = performance.now();
      const result = await request(site, machine, {
        host: HOST,
        path: "/lohu930/1",
      });
      sentAt.set(result.id, at);
    }
  };
  const areAllUsed = async () => {
    await send();
    return workers.every(({ runs }) => runs.length > 0);
  };
  if (!(await waitFor(areAllUsed, 20_000)))
    return "not run: not all workers are used";

  /** Sends an order as the operator does: to the next machine after a second. */
  const order = async (name, machines) => {
    for (const machine of machines) {
      const answer = await orderZone(site, machine, name, ZONE);
      record.line(
        `Evacuate.${name}/${ZONE} at ${machine.ip}: ${answer.status ?? answer.error}`,
      );
      if (answer.status === 200) return true;
    }
    return false;
  };
  const [sound, other, frozen] = site.controls;
  if (!(await order("Start", [sound, other])))
    return "not run: the order was not accepted";
  await delay(2_000);

  if (hasTrouble) {
    site.signal(frozen, "control", "SIGSTOP");
    record.line(`control at ${frozen.ip} is stopped`);
  }
  const frozenAt = performance.now();
  if (!(await order("End", [frozen, sound, other])))
    return "not run: the end was not accepted";
  await delay(300);
  if (!(await order("Start", [sound, other])))
    return "not run: the second order was not accepted";
  const acknowledgedAt = performance.now();
  await delay(Math.max(0, frozenAt + FREEZE_MS - performance.now()));
  if (hasTrouble) {
    site.signal(frozen, "control", "SIGCONT");
    record.line(`control at ${frozen.ip} goes on`);
  }
  const judgedFrom = Math.max(
    acknowledgedAt + EVACUATE_MS,
    performance.now() + CONTACT_WINDOW_MS,
  );
  while (performance.now() < judgedFrom + CHECKED_MS) {
    await send();
    await delay(100);
  }
  for (const machine of site.controls) {
    for (const text of ["evacuation accepted", "end of evacuation accepted"]) {
      const lines = site.logLines(
        machine,
        "control",
        `"message":"${text}"`,
      ).length;
      record.line(`control at ${machine.ip} logged "${text}" ${lines} times`);
    }
  }
  const late = evacuated.runs.filter(({ id, at }) => {
    const sent = sentAt.get(id);
    return at > judgedFrom && sent !== undefined && sent > judgedFrom;
  });
  const all = [...sentAt.values()].filter((at) => at > judgedFrom).length;
  record.line(
    `judged requests: ${all}, of which ${late.length} reached the evacuated zone`,
  );
  return late.length > 0
    ? `broken: ${late.length} of ${all} requests reached the evacuated zone`
    : `held: none of ${all} requests reached the evacuated zone`;
});
