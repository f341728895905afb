import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { test } from "node:test";
import { errorFields } from "./index.ts";

/** Starts a process whose logger writes to a stream that doesn't block it. */
function startProcess(body: string) {
  const script = `
    import { SystemClock } from "#model";
    import { BoundedLogStream, ConsolaLogger, logUncaughtErrors } from "#telemetry";
    const clock = new SystemClock();
    const stream = new BoundedLogStream({ descriptor: 1, clock });
    const logger = new ConsolaLogger({ stream, json: true, clock });
    const last = new ConsolaLogger({
      stream: { write: (line) => stream.writeLast(line) },
      json: true,
      clock,
      fields: { host: "h-1", role: "entry" },
    });
    logUncaughtErrors(() => last);
    ${body}
  `;
  return spawn(
    process.execPath,
    ["--import", "tsx", "--input-type=module", "--eval", script],
    { stdio: ["ignore", "pipe", "ignore"] },
  );
}

async function endOf(body: string) {
  const child = startProcess(body);
  let text = "";
  child.stdout.on("data", (part) => {
    text += part;
  });
  const [code] = await once(child, "close");
  const lines = text.trimEnd().split("\n");
  return { code, lines, last: JSON.parse(lines.at(-1) ?? "") };
}

// Guards against an entry that ends without a line that names its host and why.
test("an exception that nothing handles is logged before the end", async () => {
  const { code, last } = await endOf(`
    setTimeout(() => { throw new TypeError("bad host"); }, 1);
  `);
  assert.equal(code, 1);
  assert.deepEqual(
    [last.level, last.message, last.host, last.role, last.kind],
    ["error", "process ends by an error", "h-1", "entry", "exception"],
  );
  assert.equal(last.error.name, "TypeError");
  assert.equal(last.error.message, "bad host");
  assert.match(last.error.stack, /^ {4}at /);
});

test("a rejection that nothing handles is logged before the end", async () => {
  const { code, last } = await endOf(`
    void (async () => { throw new RangeError("too far"); })();
  `);
  assert.equal(code, 1);
  assert.equal(last.kind, "rejection");
  assert.equal(last.error.name, "RangeError");
});

// Guards against a last line that the rate limit drops, and against the loss of
// the lines before it, which a busy process still buffers.
test("the last line follows the lines that wait to be written", async () => {
  const { last, lines } = await endOf(`
    for (let line = 0; line < 1_000; line++) logger.info("line " + line);
    throw new Error("after a burst");
  `);
  assert.equal(last.error.message, "after a burst");
  const buffered = lines.slice(0, 400).map((line) => JSON.parse(line).message);
  assert.deepEqual(
    buffered,
    Array.from({ length: 400 }, (_, line) => `line ${line}`),
  );
});

// Guards against a process that holds its ports for ever, since its last line
// can't be written.
test("a reader that does not read does not keep a process", async () => {
  const child = startProcess(`
    for (let line = 0; line < 399; line++) logger.info("x".repeat(4_000));
    setTimeout(() => { throw new Error("nobody reads"); }, 500);
  `);
  const [code] = await once(child, "exit");
  child.stdout.destroy();
  assert.equal(code, 1);
});

// Guards against a line that the length of an error makes as long as it likes.
test("the texts of an error are bounded, and its frames are kept", () => {
  const fields = errorFields(new Error("long ".repeat(10_000)));
  assert.ok(JSON.stringify(fields).length < 4_000);
  assert.match(fields.stack ?? "", /process_end_test/);
});

test("anything that is thrown has a name and a message", () => {
  assert.deepEqual(errorFields("text"), { name: "string", message: "text" });
  assert.equal(errorFields(undefined).message, "undefined");
  assert.equal(errorFields(Object.create(null)).name, "object");
});
