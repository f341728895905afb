// Runs all test files, or only those whose path contains one of the arguments.
// Also succeeds if every test that failed is listed in KNOWN-RED.txt; prints
// the listed tests and those that failed.
import { spawnSync } from "node:child_process";
import {
  copyFileSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { failedTests, readKnownFailures } from "./known_red.mjs";

const filters = process.argv.slice(2);
const files = ["packages", "platform"]
  .flatMap((folder) =>
    readdirSync(folder, { recursive: true }).map((file) => join(folder, file)),
  )
  .filter((file) => file.endsWith("_test.ts"))
  .filter(
    (file) =>
      filters.length === 0 || filters.some((filter) => file.includes(filter)),
  )
  .sort();
if (files.length === 0) {
  console.error("no test file matches");
  process.exit(1);
}
/**
 * Folders whose tests start a deployment of processes each. At most two of them
 * run at a time, and no other tests: with as many as there are processors, up to
 * a hundred processes share them, and calls miss their deadlines.
 */
const DEPLOYMENT_FOLDERS = [
  "packages/callfaults",
  "packages/faults",
  "platform",
];
const DEPLOYMENTS_AT_A_TIME = 2;
/**
 * Files that load a process with crowds of clients. They run one at a time after
 * all others, so that its memory and answers show the effect of the crowd alone.
 */
const CROWD_FILES = /^platform\/clients_\w+_test\.ts$/;

let reportCount = 0;

/** Runs test files; returns the exit status and the names of failed tests. */
function runFiles(testFiles, runnerOptions = []) {
  if (testFiles.length === 0) return { status: 0, failed: [] };
  const folder = mkdtempSync(join(tmpdir(), "mangobank-test-"));
  const reportFile = join(folder, "report.tap");
  const run = spawnSync(
    process.execPath,
    [
      ...["--import", "tsx", "--import", "./scripts/exit_without_teardown.mjs"],
      "--test",
      ...runnerOptions,
      ...["--test-reporter=spec", "--test-reporter-destination=stdout"],
      ...["--test-reporter=tap", `--test-reporter-destination=${reportFile}`],
      ...testFiles,
    ],
    { stdio: "inherit" },
  );
  const failed = failedTests(readFileSync(reportFile, "utf8"));
  if (run.status !== 0) keepReport(reportFile);
  rmSync(folder, { recursive: true });
  return { status: run.status ?? 1, failed };
}

/** Keeps the errors of a run beside the logs of the processes that its tests started. */
function keepReport(reportFile) {
  const logFolder = process.env.MANGOBANK_KEEP_LOGS;
  if (!logFolder) return;
  mkdirSync(logFolder, { recursive: true });
  const report = join(logFolder, `report-${++reportCount}.tap`);
  copyFileSync(reportFile, report);
  console.log(`evidence of failed tests: ${report}, logs in ${logFolder}`);
}

const isCrowd = (file) => CROWD_FILES.test(file);
const isDeployment = (file) =>
  !isCrowd(file) &&
  DEPLOYMENT_FOLDERS.some((folder) => file.startsWith(`${folder}/`));
const runs = [
  runFiles(files.filter((file) => !isDeployment(file) && !isCrowd(file))),
  runFiles(files.filter(isDeployment), [
    `--test-concurrency=${DEPLOYMENTS_AT_A_TIME}`,
  ]),
  runFiles(files.filter(isCrowd), ["--test-concurrency=1"]),
];
const failed = runs.flatMap((run) => run.failed);
const knownFailures = readKnownFailures();
for (const name of knownFailures) console.log(`known red: ${name}`);
const unknown = failed.filter((name) => !knownFailures.includes(name));
// A run that fails without naming a test, as when it is killed, has failed.
const isUnexplained = runs.some(
  ({ status, failed }) => status !== 0 && failed.length === 0,
);
if (failed.length > 0 && unknown.length === 0) {
  console.log(`passed over: ${failed.join(", ")}`);
}
process.exit(isUnexplained || unknown.length > 0 ? 1 : 0);
