import { decisionTime } from "./decision_time.ts";
import { decisions } from "./decisions.ts";
import { processBench } from "./process_bench.ts";

/** The parts of the bench by name. */
const PARTS: Record<string, (args: readonly string[]) => void | Promise<void>> =
  { decisions, "decision-time": decisionTime, process: processBench };

const [first, ...rest] = process.argv.slice(2);
if (first === undefined || first.startsWith("--")) {
  for (const run of Object.values(PARTS)) await run(process.argv.slice(2));
} else if (PARTS[first]) {
  await PARTS[first](rest);
} else {
  const names = Object.keys(PARTS).join(", ");
  console.error(`unknown part ${first}; expected one of ${names}`);
  process.exitCode = 1;
}
