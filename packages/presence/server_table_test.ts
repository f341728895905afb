import assert from "node:assert/strict";
import { test } from "node:test";
import { AdaptiveDissemination, RelayDissemination } from "./dissemination.ts";
import { Effects } from "./effects.ts";
import type { ServerRecord } from "./messages.ts";
import { ServerTable } from "./server_table.ts";
import { server } from "./testing/simulation.ts";

function record(sequence: number, expiresAt: number): ServerRecord {
  return { server: server("w", { sequence }), expiresAt, startedAt: 0 };
}

test("a record that replaces a longer lease expires in time", () => {
  const table = new ServerTable();
  const effects = new Effects();
  table.put("a", record(1, 5_000));
  table.put("b", record(2, 10_000));
  table.refresh("alloc/w", { now: 0, effects });
  table.expire(6_000, new Effects());
  table.put("c", record(1, 7_000));
  table.remove("b", "alloc/w");
  table.refresh("alloc/w", { now: 6_000, effects });
  const end = new Effects();
  table.expire(7_000, end);
  assert.deepEqual(
    end.list().map(({ type }) => type),
    ["changed", "gone"],
  );
});

test("a relay forwards only messages that it got from the owner itself", () => {
  const entry = (id: string, dataCentre: string) => ({ id, dataCentre });
  const peers = [entry("b", "x"), entry("c", "y"), entry("d", "y")];
  const topology = { self: entry("a", "x"), peers };
  const forwardTargets = (from: string) =>
    new RelayDissemination().forwardTargets(topology, { owner: "c", from });
  assert.deepEqual(
    [forwardTargets("c"), forwardTargets("b"), forwardTargets("d")],
    [["b"], [], []],
  );
});

test("a large site uses relays, a small one sends to all peers", () => {
  const topologyOf = (count: number) => ({
    self: { id: "e000", dataCentre: "d0" },
    peers: Array.from({ length: count }, (_, index) => ({
      id: `e${String(index + 1).padStart(3, "0")}`,
      dataCentre: `d${(index + 1) % 10}`,
    })),
  });
  const dissemination = new AdaptiveDissemination();
  assert.equal(dissemination.changeTargets(topologyOf(17)).length, 17);
  // 9 peers in the same data centre and 2 relays in each of 9 others.
  assert.equal(dissemination.changeTargets(topologyOf(99)).length, 27);
});

// Guards against summaries that are sent to all peers and forwarded besides: at
// 21 to 40 peers this took more than twice the messages.
test("nothing is forwarded where every entry sends to all peers", () => {
  const dataCentreOf = (index: number) => `d${index % 4}`;
  const peers = Array.from({ length: 40 }, (_, index) => ({
    id: `e${index + 1}`,
    dataCentre: dataCentreOf(index + 1),
  }));
  const topology = { self: { id: "e0", dataCentre: dataCentreOf(0) }, peers };
  const dissemination = new AdaptiveDissemination();
  assert.equal(dissemination.changeTargets(topology).length, 40);
  for (const { id } of peers) {
    const message = { owner: id, from: id, round: 1, hasServers: true };
    assert.deepEqual(dissemination.forwardTargets(topology, message), []);
  }
});
