import assert from "node:assert/strict";
import { Writable } from "node:stream";
import { test } from "node:test";
import { ManualClock } from "#model";
import { ConsolaLogger, type LogStream } from "./logger.ts";

function capture(options: { json: boolean; level?: "info" | "debug" }) {
  const lines: string[] = [];
  const stream = new Writable({
    write(chunk, _encoding, done) {
      lines.push(...String(chunk).trimEnd().split("\n"));
      done();
    },
  }) as LogStream;
  const clock = new ManualClock();
  return { lines, logger: new ConsolaLogger({ ...options, stream, clock }) };
}

test("each JSON line is one object with time, level and request id", () => {
  const { lines, logger } = capture({ json: true });
  logger.with({ requestId: "r-1" }).warn("server lost", { server: "w-1" });
  assert.deepEqual(JSON.parse(lines[0] ?? ""), {
    time: "2025-06-15T15:06:40.000Z",
    level: "warn",
    message: "server lost",
    requestId: "r-1",
    server: "w-1",
  });
});

test("fields that cannot be converted to JSON do not throw", () => {
  const { lines, logger } = capture({ json: true });
  const cyclic: Record<string, unknown> = {};
  cyclic.self = cyclic;
  logger.error("failed", { cyclic, cause: new Error("reset"), n: 1n });
  logger.error("failed", { cause: new Error("reset"), n: 1n });
  assert.equal(JSON.parse(lines[1] ?? "").cause.message, "reset");
});

test("fields cannot overwrite the level or the message", () => {
  const { lines, logger } = capture({ json: true });
  logger.info("real", { level: "error", message: "forged" });
  const line = JSON.parse(lines[0] ?? "");
  assert.deepEqual([line.level, line.message], ["info", "real"]);
});

test("equal lines are not merged, and lines below the level are dropped", () => {
  const { lines, logger } = capture({ json: true, level: "info" });
  for (let i = 0; i < 20; i++) logger.info("same");
  logger.debug("dropped");
  assert.equal(lines.length, 20);
});

test("text lines contain the fields", () => {
  const { lines, logger } = capture({ json: false });
  logger.info("in force", { version: 7, section: "two words" });
  assert.match(lines.join("\n"), /in force version=7 section="two words"/);
});
