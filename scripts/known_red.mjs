import { existsSync, readFileSync } from "node:fs";

const KNOWN_FAILURES_FILE = "KNOWN-RED.txt";

/**
 * Names of the tests that may fail, from the lines `test: NAME` of the file.
 */
export function readKnownFailures() {
  if (!existsSync(KNOWN_FAILURES_FILE)) return [];
  return firstGroups(
    readFileSync(KNOWN_FAILURES_FILE, "utf8"),
    /^test: (.+)$/gm,
  );
}

/** Names of the tests that failed according to a TAP report. */
export function failedTests(report) {
  return firstGroups(report, /^ *not ok \d+ - (.+?)(?: #.*)?$/gm);
}

/** The first capture group of each match. */
function firstGroups(text, pattern) {
  return [...text.matchAll(pattern)].map(([, name]) => name.trim());
}
