import assert from "node:assert/strict";
import { test } from "node:test";
import { Effects } from "./effects.ts";
import type { Copy } from "./messages.ts";
import { ServerTable } from "./server_table.ts";
import { AdaptiveSpread, RelaySpread } from "./spread.ts";
import { server } from "./testing/simulation.ts";

function copy(sequence: number, expires: number): Copy {
  return { server: server("w", { sequence }), expires, startedAt: 0 };
}

test("a copy that takes over and ends sooner is still ended in time", () => {
  const table = new ServerTable();
  const effects = new Effects();
  table.put("a", copy(1, 5_000));
  table.put("b", copy(2, 10_000));
  table.refresh("alloc/w", { now: 0, effects });
  table.expire(6_000, new Effects());
  table.put("c", copy(1, 7_000));
  table.remove("b", "alloc/w");
  table.refresh("alloc/w", { now: 6_000, effects });
  const end = new Effects();
  table.expire(7_000, end);
  assert.deepEqual(
    end.list().map(({ type }) => type),
    ["changed", "gone"],
  );
});

test("a relay forwards only what it has from the owner itself", () => {
  const entry = (id: string, dataCentre: string) => ({ id, dataCentre });
  const peers = [entry("b", "x"), entry("c", "y"), entry("d", "y")];
  const topology = { self: entry("a", "x"), peers };
  const to = (from: string) =>
    new RelaySpread().forward(topology, { owner: "c", from });
  assert.deepEqual([to("c"), to("b"), to("d")], [["b"], [], []]);
});

test("a large site sends by relays, a small one to all", () => {
  const topologyOf = (count: number) => ({
    self: { id: "e000", dataCentre: "d0" },
    peers: Array.from({ length: count }, (_, index) => ({
      id: `e${String(index + 1).padStart(3, "0")}`,
      dataCentre: `d${(index + 1) % 10}`,
    })),
  });
  const spread = new AdaptiveSpread();
  assert.equal(spread.changes(topologyOf(17)).length, 17);
  // 9 near ones and two relays in each of nine other data centres.
  assert.equal(spread.changes(topologyOf(99)).length, 27);
});
