import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";

/** Calls whose result may be dropped, by file, and why. */
const JUSTIFIED: Readonly<Record<string, readonly string[]>> = {
  // No promise: whether the line was taken.
  "packages/telemetry/logger.ts": ["stream.write"],
  // Handles its own exceptions by stopping the log.
  "packages/storage/replicated_log.ts": ["this.#processEffects"],
  // Their rejection is to end the process, which logs it.
  "packages/cli/main.ts": ["createProgram"],
  "platform/main.ts": ["main"],
};

/** Folders and packages of tests and measurements. */
const TOOLS =
  /_test\.ts$|testing\/|^packages\/(bench|callfaults|demo|faults|slopes|standin)\//;

const DROPPED_CALL = /(?<![|:<=]\s*)\bvoid ([\w.#]+)\s*[(?]/g;
const TIMER = /\b(?:setInterval|setTimeout)\(\s*async\b/;

function sources(): string[] {
  return ["packages", "platform"]
    .flatMap((folder) =>
      readdirSync(folder, { recursive: true }).map((file) =>
        join(folder, String(file)),
      ),
    )
    .filter((file) => file.endsWith(".ts") && !TOOLS.test(file));
}

// Guards against a promise that nobody owns, whose rejection ends the process.
// The linter refuses those that are neither awaited, handled nor marked `void`.
test("no result of a call is dropped without an owner", () => {
  for (const file of sources()) {
    const text = readFileSync(file, "utf8").replaceAll(/=> void /g, "; void ");
    const dropped = [...text.matchAll(DROPPED_CALL)].map(([, call]) => call);
    assert.deepEqual(dropped, JUSTIFIED[file] ?? [], file);
    assert.doesNotMatch(text, TIMER, file);
  }
});
