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
import { type Clock, ManualClock } from "#model";
import { BoundedLogStream } from "./bounded_log_stream.ts";

/** Runs a function on a stream to a file and returns the lines in the file. */
async function writtenLines(
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

test("lines beyond the rate limit are dropped and counted", async () => {
  const lines = await writtenLines((stream, clock) => {
    for (let line = 0; line < 1_000; line++) stream.write(`${line}\n`);
    clock.advance(1_000);
    stream.write("later\n");
  });
  assert.ok(lines.length < 500);
  const droppedLine = lines.find((line) => line.includes("log lines dropped"));
  assert.equal(JSON.parse(droppedLine ?? "{}").lines, 600);
  assert.equal(lines.at(-1), "later");
});

test("lines within the rate limit are written in order", async () => {
  const lines = await writtenLines((stream) => {
    for (const line of ["a", "b", "c"]) stream.write(`${line}\n`);
  });
  assert.deepEqual(lines, ["a", "b", "c"]);
});

// Guards against the loss of the last line of a process that was busy while its
// earlier lines were written, and so has not seen the end of that write.
test("the last line is written after a turn that was busy for long", () => {
  let now = 0;
  const clock = {
    now: () => {
      now += 60;
      return now;
    },
    wallTime: () => now,
  } as unknown as Clock;
  const folder = mkdtempSync(join(tmpdir(), "log-stream-"));
  const file = join(folder, "log");
  const descriptor = openSync(file, "w");
  const stream = new BoundedLogStream({ descriptor, clock });
  stream.write("first\n");
  clock.now();
  clock.now();
  assert.equal(stream.writeLast("last\n"), true);
  assert.match(readFileSync(file, "utf8"), /last\n/);
});
