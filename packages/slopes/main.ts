import { loadavg } from "node:os";
import { measureCalls } from "./calls.ts";
import { measureClaims } from "./claim_figures.ts";
import { measureConfiguration } from "./configuration.ts";
import { measureControlLog } from "./control_log.ts";
import { measureDispatching } from "./dispatching.ts";
import { measureHeartbeats } from "./heartbeats.ts";
import { measurePresenceRecords } from "./presence_records.ts";
import { measurePresenceTraffic } from "./presence_spread.ts";
import { measureProcesses } from "./processes.ts";
import type { Row } from "./report.ts";
import { formatTable } from "./report.ts";

const PARTS: Record<string, () => Row[] | Promise<Row[]>> = {
  presence_records: measurePresenceRecords,
  presence_spread: measurePresenceTraffic,
  configuration: measureConfiguration,
  heartbeats: measureHeartbeats,
  control_log: measureControlLog,
  claims: measureClaims,
  dispatching: measureDispatching,
  processes: measureProcesses,
  calls: measureCalls,
};

// Each process of a site is killed when this one ends.
process.setMaxListeners(200);
const selectedParts = process.argv.slice(2);
const load = () =>
  loadavg()
    .map((value) => value.toFixed(1))
    .join(" ");
for (const [name, run] of Object.entries(PARTS)) {
  if (selectedParts.length > 0 && !selectedParts.includes(name)) continue;
  const started = performance.now();
  const before = load();
  const rows = await run();
  const seconds = ((performance.now() - started) / 1_000).toFixed(0);
  console.log(`\n## ${name}\n`);
  console.log(`${seconds} s; load average ${before} before, ${load()} after\n`);
  console.log(formatTable(rows));
}
