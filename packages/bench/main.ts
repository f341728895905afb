import { measureDecisionTime } from "./decision_time.ts";
import { comparePolicies } from "./decisions.ts";
import { checkGoals } from "./goals.ts";
import { compareOrders } from "./overload.ts";
import { compareWithRelay } from "./process_bench.ts";

type Part = (args: readonly string[]) => void | Promise<void>;

/** The parts of the bench by name. */
const PARTS: Readonly<Record<string, Part>> = {
  decisions: comparePolicies,
  goals: checkGoals,
  "decision-time": measureDecisionTime,
  overload: compareOrders,
  process: compareWithRelay,
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
