import assert from "node:assert/strict";
import { test } from "node:test";
import { openConnection, stall } from "../demo/stall.ts";
import { withTimeout } from "./majority_timeout.ts";

const TIMEOUT_MS = 50;

// Guards against a change that is answered with "unavailable" although a majority
// has confirmed it, as this host stalled. The log deals with the messages of a turn
// after it has read them all.
test("a confirmation that arrived during a stall counts", async (t) => {
  const { own, peer } = await openConnection(t);
  const confirmed = new Promise<string>((resolve) => {
    own.on("data", (bytes) => setImmediate(() => resolve(String(bytes))));
  });
  const result = withTimeout(confirmed, TIMEOUT_MS);
  peer.write("confirmed");
  stall(4 * TIMEOUT_MS);
  assert.equal(await result, "confirmed");
});

// Otherwise callers wait for ever for a majority that does not answer.
test("a wait for a majority ends without an answer", async () => {
  const result = withTimeout(new Promise(() => undefined), TIMEOUT_MS);
  stall(4 * TIMEOUT_MS);
  assert.equal(await result, undefined);
});

// Otherwise the failure of a request is an unhandled rejection, or is lost.
test("a failure of the awaited request is passed on", async () => {
  const failed = Promise.reject(new Error("failed"));
  await assert.rejects(withTimeout(failed, TIMEOUT_MS), /^Error: failed$/);
});
