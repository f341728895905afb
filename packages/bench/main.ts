import { decisionTime } from "./decision_time.ts";
import { decisions } from "./decisions.ts";
import { goals } from "./goals.ts";
import { processBench } from "./process_bench.ts";

type Part = (args: readonly string[]) => void | Promise<void>;

/** The parts of the bench by name. */
const PARTS: Readonly<Record<string, Part>> = {
  decisions,
  goals,
  "decision-time": decisionTime,
  process: processBench,
};

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
