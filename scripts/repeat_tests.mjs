// Runs test commands again and again, alone and beside load, and prints a table of how
// often each test failed. Keeps the output and the process logs of each run that failed.
//
//   node scripts/repeat_tests.mjs [--times N] [--folder DIR] COMMAND...
//
//   node scripts/repeat_tests.mjs "npm test platform/odd_items" "npm test faults/pools"
import { spawn, spawnSync } from "node:child_process";
import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import { availableParallelism } from "node:os";
import { join } from "node:path";
import { parseArgs } from "node:util";
import { addRun, table } from "./test_runs.mjs";

const { values, positionals: commands } = parseArgs({
  allowPositionals: true,
  options: {
    times: { type: "string", default: "20" },
    folder: { type: "string", default: "target/repeated" },
  },
});
const times = Number(values.times);
const results = new Map();
if (commands.length === 0 || !(times >= 1)) {
  console.error(
    "usage: node scripts/repeat_tests.mjs [--times N] [--folder DIR] COMMAND...",
  );
  process.exit(2);
}

/** Starts as many busy processes as the machine has processors; returns how to end them. */
function startLoad() {
  const busy = Array.from({ length: availableParallelism() }, () =>
    spawn(process.execPath, ["-e", "for (;;);"], { stdio: "ignore" }),
  );
  const stop = () => {
    for (const child of busy) child.kill("SIGKILL");
  };
  process.once("exit", stop);
  return stop;
}

/** Runs a command once; its output and logs stay in the folder if it fails. */
function runOnce(command, folder) {
  mkdirSync(folder, { recursive: true });
  const run = spawnSync(command, {
    shell: true,
    encoding: "utf8",
    maxBuffer: 1024 ** 3,
    env: { ...process.env, MANGOBANK_KEEP_LOGS: folder },
  });
  const output = `${run.stdout}${run.stderr}`;
  const hasFailed = addRun(results, output, folder);
  if (hasFailed || run.status !== 0)
    writeFileSync(join(folder, "output.txt"), output);
  else rmSync(folder, { recursive: true });
  return run.status;
}

let broken = 0;
for (const besideLoad of [false, true]) {
  const stopLoad = besideLoad ? startLoad() : undefined;
  for (const [index, command] of commands.entries()) {
    for (let time = 1; time <= times; time++) {
      const name = `${index + 1}-${besideLoad ? "load" : "alone"}-${time}`;
      const status = runOnce(command, join(values.folder, name));
      console.log(`${name}: ${command}: exit status ${status}`);
      if (status !== 0) broken++;
    }
  }
  stopLoad?.();
}
console.log(`\n${table(results)}`);
console.log(`${broken} runs ended with a failure; evidence: ${values.folder}`);
process.exit(broken === 0 ? 0 : 1);
