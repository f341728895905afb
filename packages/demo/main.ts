import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { consola } from "consola";
import { bundlePrograms } from "./bundle.ts";
import { type DemoResult, runDemo } from "./demo.ts";
import { DEPLOYMENTS } from "./deployments.ts";

/** Seconds of load; the whole demo takes less than a minute. */
const LOAD_SECONDS = 12;

const folder = mkdtempSync(join(tmpdir(), "mangobank-demo-"));
const programs = await bundlePrograms(folder, {
  mangobank: "packages/cli/main.ts",
  standin: "packages/demo/standin_process.ts",
});
process.setMaxListeners(100);
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => process.exit(1));
}
const ended = await Promise.allSettled(
  DEPLOYMENTS.map((deployment) =>
    runDemo({
      deployment,
      example: join("examples", deployment.name),
      folder: join(folder, deployment.name),
      command: [process.execPath, programs.mangobank],
      standinProgram: programs.standin,
      seconds: LOAD_SECONDS,
      say: (text) => consola.info(text),
    }),
  ),
);
const results: DemoResult[] = [];
for (const end of ended) {
  if (end.status === "fulfilled") results.push(end.value);
  else consola.error(end.reason, `logs are in ${folder}`);
}
if (results.length < DEPLOYMENTS.length) process.exit(1);
const faults = results.flatMap(({ faults: found }) => found);
print(results);
for (const fault of faults.slice(0, 20)) consola.error(fault);
if (faults.length > 0) {
  consola.error(`${faults.length} calls broke a promise; logs: ${folder}`);
  process.exit(1);
}
rmSync(folder, { recursive: true });

function print(all: readonly DemoResult[]): void {
  const head = [
    "class",
    "calls",
    "answered",
    "not-run",
    "unknown",
    "no answer",
    "p50 ms",
    "p99 ms",
  ];
  const rows = all.flatMap(({ deployment, classes }) =>
    classes.map((c) => [
      `${deployment} ${c.name}`,
      String(c.answers.length),
      String(c.count("answered")),
      String(c.count("not-run")),
      String(c.count("unknown")),
      String(c.count("no-answer")),
      c.quantile(0.5).toFixed(1),
      c.quantile(0.99).toFixed(1),
    ]),
  );
  const widths = head.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  const line = (cells: readonly string[]) =>
    cells
      .map((cell, i) =>
        i === 0 ? cell.padEnd(widths[i] ?? 0) : cell.padStart(widths[i] ?? 0),
      )
      .join("  ");
  console.log([head, ...rows].map(line).join("\n"));
  for (const { deployment, changeMs, stopMs } of all) {
    console.log(
      `${deployment}: section change in force after ${changeMs.toFixed(0)} ms, ` +
        `planned stop done ${(stopMs / 1_000).toFixed(1)} s after its time`,
    );
  }
}
