/**
 * Several orders that each add routes are in progress at once, and all are acknowledged;
 * then all processes are killed. Requests have to be served again within `recovery_s`.
 */
import { dirname } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
  call,
  getConfiguration,
  limitsItem,
  patch,
  patchText,
  request,
  routeItem,
  runCase,
  serviceItem,
  Worker,
  waitFor,
} from "../lib-3/site.mjs";

const HOST = "time.lv-central.example";
/** Routes that one order adds: the largest dose of `big_config`. */
const ROUTES_PER_ORDER = 1_400;
/** Orders that are sent one after the other, with and without the disruption. */
const EARLIER_ORDERS = 2;
/** Orders in progress at once, at most eight as PROTOCOL says: two of each of two operators. */
const ORDERS_AT_ONCE = 4;
/** Large bodies get more time than a second. */
const LARGE_BODY_TIMEOUT_MS = 10_000;
const RECOVERY_MS = 15_000;
const CHECKED_MS = 10_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (about) => {
  const { site, record, workers, hasTrouble } = about;
  await site.start({ controls: 3, machines: 5 });
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
  for (const id of ["i-1", "i-2"]) {
    const worker = new Worker(site, record, { id, service: "alloc" });
    workers.push(worker);
    await worker.start();
  }
  const entries = site.machines;
  const serve = async (machine) => {
    const result = await request(site, machine, {
      host: HOST,
      path: "/lohu930/1",
    });
    record.line(
      `request ${result.id} at ${machine.ip}: ${result.status ?? result.error}${result.isServed ? " served" : ""}`,
    );
    return result.isServed;
  };
  /** Share of requests that are served, some at each entry. */
  const servedShare = async (ms) => {
    const until = performance.now() + ms;
    let served = 0;
    let sent = 0;
    while (performance.now() < until) {
      const results = await Promise.all(entries.map(serve));
      served += results.filter(Boolean).length;
      sent += results.length;
      await delay(500);
    }
    return { served, sent };
  };
  const allServe = async () =>
    (await Promise.all(entries.map(serve))).every(Boolean);
  if (!(await waitFor(allServe, 20_000)))
    return "not run: not all entries serve";

  const send = async (order) => {
    const routes = Array.from({ length: ROUTES_PER_ORDER }, (_, i) =>
      routeItem(`timesheets-${order}-${i}`, {
        version: 9,
        host: HOST,
        prefix: `/departments/${order}/groups/${i}/`,
        service: "alloc",
      }),
    );
    const text = patchText(routes);
    const answer = await patch(site, text, {
      first: order,
      timeoutMs: LARGE_BODY_TIMEOUT_MS,
      forMs: 20_000,
    });
    record.line(
      `order ${order} with ${ROUTES_PER_ORDER} routes, ${text.length} bytes: ${answer.status ?? answer.error} ${answer.body}`,
    );
    return answer;
  };
  // One after the other, each after the answer to the one before.
  const answers = [];
  for (let order = 0; order < EARLIER_ORDERS; order++)
    answers.push(await send(order));
  if (answers.some(({ status }) => status !== 200))
    return "not run: an earlier order was not accepted";
  if (hasTrouble) {
    const numbers = Array.from(
      { length: ORDERS_AT_ONCE },
      (_, i) => EARLIER_ORDERS + i,
    );
    answers.push(...(await Promise.all(numbers.map(send))));
  }
  const acknowledged = answers.filter(({ status }) => status === 200).length;
  await delay(3_000);
  const before = await servedShare(3_000);
  record.line(
    `before the final fault: ${before.served} of ${before.sent} served`,
  );

  site.killAll();
  record.line("all processes killed");
  await delay(500);
  site.startAll({ bootstrap: false });
  record.line("all processes started again");
  await delay(RECOVERY_MS);
  const after = await servedShare(CHECKED_MS);
  record.line(`later than recovery_s: ${after.served} of ${after.sent} served`);
  const read = await getConfiguration(site, site.controls[0]);
  const count =
    read.status === 200 ? JSON.parse(read.body).resources.length : read.error;
  record.line(`configuration read back: ${count} items`);
  for (const machine of entries) {
    const ready = await call({
      host: machine.ip,
      port: site.port("ready"),
      path: "/mangobank/ready",
    });
    record.line(`ready at ${machine.ip}: ${ready.status ?? ready.error}`);
  }
  const lines = site.logLines(
    site.controls[0],
    "control",
    "frame_too_long",
  ).length;
  record.line(
    `lines with frame_too_long at the first control process: ${lines}`,
  );
  if (before.served * 4 < before.sent)
    return "not run: too little was served before";
  return after.served * 4 < after.sent
    ? `broken: ${acknowledged} orders acknowledged, ${after.served} of ${after.sent} requests served after the recovery time`
    : `held: ${acknowledged} orders acknowledged, ${after.served} of ${after.sent} requests served after the recovery time`;
});
