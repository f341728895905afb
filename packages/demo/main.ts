import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { consola } from "consola";
import { bundlePrograms } from "./bundle.ts";
import { type DemoResult, runDemo } from "./demo.ts";
import { DEPLOYMENTS } from "./deployments.ts";

/** Duration of the load; the whole demo takes less than a minute. */
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
const settledResults = await Promise.allSettled(
  DEPLOYMENTS.map((deployment) =>
    runDemo({
      deployment,
      example: join("examples", deployment.name),
      folder: join(folder, deployment.name),
      command: [process.execPath, programs.mangobank],
      standinProgram: programs.standin,
      seconds: LOAD_SECONDS,
      log: (text) => consola.info(text),
    }),
  ),
);
const results: DemoResult[] = [];
for (const result of settledResults) {
  if (result.status === "fulfilled") results.push(result.value);
  else consola.error(result.reason, `logs are in ${folder}`);
}
if (results.length < DEPLOYMENTS.length) process.exit(1);
const violations = results.flatMap(({ violations: found }) => found);
printResults(results);
for (const violation of violations.slice(0, 20)) consola.error(violation);
if (violations.length > 0) {
  consola.error(
    `${violations.length} violations of the call guarantees; logs: ${folder}`,
  );
  process.exit(1);
}
rmSync(folder, { recursive: true });

function printResults(demoResults: readonly DemoResult[]): void {
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
  const rows = demoResults.flatMap(({ deployment, classes }) =>
    classes.map((c) => [
      `${deployment} ${c.name}`,
      String(c.responses.length),
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
  for (const { deployment, changeMs, stopMs } of demoResults) {
    console.log(
      `${deployment}: section change in force after ${changeMs.toFixed(0)} ms, ` +
        `planned stop done ${(stopMs / 1_000).toFixed(1)} s after its time`,
    );
  }
}
