import { decisionTime } from "./decision_time.ts";
import { decisions } from "./decisions.ts";
import { goals } from "./goals.ts";

/** The parts of the bench by name. */
const PARTS: Record<string, (args: readonly string[]) => void> = {
  decisions,
  goals,
  "decision-time": decisionTime,
};

const [first, ...rest] = process.argv.slice(2);
if (first === undefined || first.startsWith("--")) {
  for (const run of Object.values(PARTS)) run(process.argv.slice(2));
} else if (PARTS[first]) {
  PARTS[first](rest);
} else {
  const names = Object.keys(PARTS).join(", ");
  console.error(`unknown part ${first}; expected one of ${names}`);
  process.exitCode = 1;
}
