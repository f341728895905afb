import assert from "node:assert/strict";
import { type TestContext, test } from "node:test";
import { SeededRandomness, SystemClock } from "#model";
import type { ReachabilityMessages } from "#reachability";
import { type Logger, Metrics } from "#telemetry";
import type { Network } from "#wire";
import { openConnection, stall } from "../demo/stall.ts";
import { until } from "../demo/until.ts";
import { PathMonitor } from "./path_monitor.ts";
import { serverRecord } from "./test_server_record.ts";

/** Longer than the silence after which running calls are given up. */
const STALL_MS = 800;

const network: Network<ReachabilityMessages> = {
  send: () => true,
  broadcast: () => undefined,
  handle: () => undefined,
};
const logger = {
  info: () => undefined,
  warn: () => undefined,
} as unknown as Logger;

/** A monitor that has just found out that it reaches no server. */
async function startCut(t: TestContext) {
  const { own, peer: atServer, port } = await openConnection(t);
  const server = serverRecord(port);
  const silent: string[] = [];
  const monitor = new PathMonitor({
    clock: new SystemClock(),
    randomness: new SeededRandomness(1),
    logger,
    metrics: new Metrics(),
    network,
    onCutOff: () => undefined,
    onChanged: () => undefined,
    onSilent: (service) => silent.push(service),
  });
  t.after(() => monitor.close());
  monitor.setServers(server.service, [server, { ...server, id: "w2" }]);
  assert.equal(await monitor.judge(server), "path");
  assert.ok(monitor.isCutOff(server.service));
  return { monitor, server, own, atServer, silent };
}

// Guards against running calls that are given up although their answers have
// arrived, as this entry stalled.
test("an answer that arrived during a stall ends the silence", async (t) => {
  const { monitor, server, own, atServer, silent } = await startCut(t);
  let heard = 0;
  own.on("data", () => {
    monitor.heard(server);
    heard += 1;
  });
  atServer.write("answer");
  stall(STALL_MS);
  await until(() => heard > 0, { what: "the answer" });
  await new Promise(setImmediate);
  assert.deepEqual(silent, []);
});

// Otherwise calls wait for their deadlines at servers that this entry reaches no more.
test("calls are given up if no server answers during a cut", async (t) => {
  const { server, silent } = await startCut(t);
  stall(STALL_MS);
  await until(() => silent.length > 0, { what: "the silence" });
  assert.deepEqual(silent, [server.service]);
});

// Otherwise an entry that has stopped cancels calls and opens connections.
test("a monitor that is closed by the pending input gives up no calls", async (t) => {
  const { monitor, own, atServer, silent } = await startCut(t);
  let closed = false;
  own.on("data", () => {
    monitor.close();
    closed = true;
  });
  atServer.write("stop");
  stall(STALL_MS);
  await until(() => closed, { what: "the end of the monitor" });
  await new Promise(setImmediate);
  assert.deepEqual(silent, []);
});
