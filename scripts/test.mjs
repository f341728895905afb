// Runs all test files, or those whose path contains one of the arguments.
import { spawnSync } from "node:child_process";
import { readdirSync } from "node:fs";
import { join } from "node:path";

const wanted = process.argv.slice(2);
const files = ["packages", "platform"]
  .flatMap((folder) =>
    readdirSync(folder, { recursive: true }).map((file) => join(folder, file)),
  )
  .filter((file) => file.endsWith("_test.ts"))
  .filter((file) => wanted.length === 0 || wanted.some((w) => file.includes(w)))
  .sort();
if (files.length === 0) {
  console.error("no test file matches");
  process.exit(1);
}
const run = spawnSync(
  process.execPath,
  ["--import", "tsx", "--test", "--test-reporter=spec", ...files],
  { stdio: "inherit" },
);
process.exit(run.status ?? 1);
