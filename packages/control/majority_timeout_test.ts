import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { type TestContext, test } from "node:test";
import { withTimeout } from "./majority_timeout.ts";

const TIMEOUT_MS = 50;

/** Keeps the event loop from running, so that timers are due before what arrives. */
function stall(): void {
  const end = performance.now() + 4 * TIMEOUT_MS;
  while (performance.now() < end);
}

/** Both ends of a connection. */
async function openConnection(t: TestContext) {
  const listener = createServer();
  t.after(() => listener.close());
  listener.listen(0, "127.0.0.1");
  await once(listener, "listening");
  const { port } = listener.address() as AddressInfo;
  const accepted = once(listener, "connection");
  const own = connect(port, "127.0.0.1");
  const [[peer]] = await Promise.all([accepted, once(own, "connect")]);
  t.after(() => {
    own.destroy();
    peer.destroy();
  });
  return { own, peer: peer as Socket };
}

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
  stall();
  assert.equal(await result, "confirmed");
});

// Otherwise callers wait for ever for a majority that does not answer.
test("a wait for a majority ends without an answer", async () => {
  const result = withTimeout(new Promise(() => undefined), TIMEOUT_MS);
  stall();
  assert.equal(await result, undefined);
});

// Otherwise the failure of a request is an unhandled rejection, or is lost.
test("a failure of the awaited request is passed on", async () => {
  const failed = Promise.reject(new Error("failed"));
  await assert.rejects(withTimeout(failed, TIMEOUT_MS), /^Error: failed$/);
});
