import { loadavg } from "node:os";
import { calls } from "./calls.ts";
import { claimFigures } from "./claim_figures.ts";
import { configuration } from "./configuration.ts";
import { controlLog } from "./control_log.ts";
import { dispatching } from "./dispatching.ts";
import { heartbeats } from "./heartbeats.ts";
import { presenceRecords } from "./presence_records.ts";
import { presenceSpread } from "./presence_spread.ts";
import { processes } from "./processes.ts";
import type { Row } from "./report.ts";
import { table } from "./report.ts";

const PARTS: Record<string, () => Row[] | Promise<Row[]>> = {
  presence_records: presenceRecords,
  presence_spread: presenceSpread,
  configuration,
  heartbeats,
  control_log: controlLog,
  claims: claimFigures,
  dispatching,
  processes,
  calls,
};

// Each process of a site is killed when this one ends.
process.setMaxListeners(200);
const wanted = process.argv.slice(2);
const load = () =>
  loadavg()
    .map((value) => value.toFixed(1))
    .join(" ");
for (const [name, run] of Object.entries(PARTS)) {
  if (wanted.length > 0 && !wanted.includes(name)) continue;
  const started = performance.now();
  const before = load();
  const rows = await run();
  const seconds = ((performance.now() - started) / 1_000).toFixed(0);
  console.log(`\n## ${name}\n`);
  console.log(`${seconds} s; load average ${before} before, ${load()} after\n`);
  console.log(table(rows));
}
