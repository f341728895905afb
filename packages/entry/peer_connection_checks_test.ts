import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { test } from "node:test";
import { SystemClock } from "#model";
import type { QuarantineMessages } from "#quarantine";
import type { Logger } from "#telemetry";
import type { Hello, Network } from "#wire";
import { PeerConnectionChecks } from "./peer_connection_checks.ts";
import { serverRecord } from "./test_server_record.ts";

/** Longer than peers have for an answer. */
const STALL_MS = 300;

/** Keeps the event loop from running, so that timers are due before what arrives. */
function stall(): void {
  const end = performance.now() + STALL_MS;
  while (performance.now() < end);
}

// Guards against a server that counts as lost, and a request that counts as the
// cause, because this entry stalled while another one answered that it reaches it.
test("an answer of a peer that arrived during a stall counts", async (t) => {
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
  const handlers = new Map<string, (payload: never, from: Hello) => void>();
  const network: Network<QuarantineMessages> = {
    handle: (kind, handler) => void handlers.set(kind, handler),
    send: (_to, kind, payload) => {
      assert.equal(kind, "quarantine.check");
      const { question } = payload as QuarantineMessages["quarantine.check"];
      peer.write(JSON.stringify({ question, isReached: true }));
      return true;
    },
    broadcast: () => undefined,
  };
  own.on("data", (bytes) => {
    const answer = JSON.parse(String(bytes)) as never;
    handlers.get("quarantine.checked")?.(answer, { id: "entry-2" } as Hello);
  });
  const clock = new SystemClock();
  const logger = {} as Logger;
  const checks = new PeerConnectionChecks({ network, clock, logger });
  const reached = checks.isReached(serverRecord(9), ["entry-2"]);
  stall();
  assert.equal(await reached, true);
});

// Otherwise a call waits for ever for the answer of a peer that was lost.
test("a peer that does not answer has not reached the server", async () => {
  const network: Network<QuarantineMessages> = {
    handle: () => undefined,
    send: () => true,
    broadcast: () => undefined,
  };
  const clock = new SystemClock();
  const logger = {} as Logger;
  const checks = new PeerConnectionChecks({ network, clock, logger });
  const reached = checks.isReached(serverRecord(9), ["entry-2"]);
  stall();
  assert.equal(await reached, false);
});
