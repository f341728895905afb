import assert from "node:assert/strict";
import { test } from "node:test";
import { SystemClock } from "#model";
import type { QuarantineMessages } from "#quarantine";
import type { Logger } from "#telemetry";
import type { Hello, Network } from "#wire";
import { openConnection, stall } from "../demo/stall.ts";
import { PeerConnectionChecks } from "./peer_connection_checks.ts";
import { serverRecord } from "./test_server_record.ts";

/** Longer than peers have for an answer. */
const STALL_MS = 300;

// Guards against a server that counts as lost, and a request that counts as the
// cause, because this entry stalled while another one answered that it reaches it.
test("an answer of a peer that arrived during a stall counts", async (t) => {
  const { own, peer } = await openConnection(t);
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
  stall(STALL_MS);
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
  stall(STALL_MS);
  assert.equal(await reached, false);
});
