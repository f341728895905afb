import assert from "node:assert/strict";
import { createServer } from "node:net";
import { test } from "node:test";
import { listen } from "#wire";
import { reservePorts } from "./ports.ts";

// Failure: a test takes the ports of processes that an interrupted run has left on another
// loopback address, and its own processes cannot listen.
test("ports in use on another loopback address are not reserved", async (context) => {
  const former = await reservePorts();
  const port = former.take();
  former.release();
  const host = `127.1.${former.index}.11`;
  const leftOver = createServer();
  context.after(() => leftOver.close());
  (await listen(leftOver, { host, port }))._unsafeUnwrap();
  const ports = await reservePorts();
  context.after(() => ports.release());
  assert.notEqual(ports.index, former.index);
});
