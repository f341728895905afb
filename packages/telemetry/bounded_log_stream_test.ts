import assert from "node:assert/strict";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { ManualClock } from "#model";
import { BoundedLogStream } from "./bounded_log_stream.ts";

/** Runs against a file and gives the lines that arrived there. */
async function written(
  run: (stream: BoundedLogStream, clock: ManualClock) => void,
): Promise<string[]> {
  const folder = mkdtempSync(join(tmpdir(), "mangobank-log-"));
  const file = join(folder, "log");
  const descriptor = openSync(file, "w");
  const clock = new ManualClock();
  const stream = new BoundedLogStream({ descriptor, clock });
  run(stream, clock);
  await stream.flush();
  closeSync(descriptor);
  const lines = readFileSync(file, "utf8").trimEnd().split("\n");
  rmSync(folder, { recursive: true });
  return lines;
}

test("lines above the rate are dropped and counted", async () => {
  const lines = await written((stream, clock) => {
    for (let line = 0; line < 1_000; line++) stream.write(`${line}\n`);
    clock.advance(1_000);
    stream.write("later\n");
  });
  assert.ok(lines.length < 500);
  const note = lines.find((line) => line.includes("log lines dropped"));
  assert.equal(JSON.parse(note ?? "{}").lines, 600);
  assert.equal(lines.at(-1), "later");
});

test("a few lines all arrive in order", async () => {
  const lines = await written((stream) => {
    for (const line of ["a", "b", "c"]) stream.write(`${line}\n`);
  });
  assert.deepEqual(lines, ["a", "b", "c"]);
});
