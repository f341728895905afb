import { existsSync, readFileSync } from "node:fs";

const FILE = "KNOWN-RED.txt";

/** Names of the tests that may fail, one `test: NAME` line for each. */
export function knownRed() {
  if (!existsSync(FILE)) return [];
  return matches(readFileSync(FILE, "utf8"), /^test: (.+)$/gm);
}

/** Names of the tests that failed, from a report in TAP. */
export function failedTests(report) {
  return matches(report, /^ *not ok \d+ - (.+?)(?: #.*)?$/gm);
}

function matches(text, pattern) {
  return [...text.matchAll(pattern)].map(([, name]) => name.trim());
}
