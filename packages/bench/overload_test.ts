import assert from "node:assert/strict";
import { test } from "node:test";
import { ORDERS, onTimeShare, replayAll, sum } from "./overload.ts";
import { LOADS, type ReplayLoad, SURGING_TENANT } from "./overload_loads.ts";
import type { MakeOrder, ReplayFigures } from "./overload_replay.ts";

const SEEDS = [1];

function load(name: string): ReplayLoad {
  const found = LOADS.find((candidate) => candidate.name === name);
  if (!found) throw new Error(`no load ${name}`);
  return found;
}

function replay(order: string, name: string): ReplayFigures[] {
  return replayAll(load(name), ORDERS[order] as MakeOrder, SEEDS);
}

function value(runs: readonly ReplayFigures[]): number {
  const all = sum(runs.map((run) => run.all));
  return all.value / all.calls;
}

function onTime(runs: readonly ReplayFigures[], rank: number): number {
  const group = sum(runs.map((run) => run.byRank.get(rank)));
  return group.onTime / group.calls;
}

// Each guards against an order that is worth less to callers than the queue
// without ranks, by at least this much in the load that it replays.
for (const [name, gain] of [
  ["burst x1.7", 0.1],
  ["half gone", 0.05],
  ["burst, repeat at once", 0.1],
  ["tenant x8", 0.03],
] as const) {
  test(`${name}: worth more than today's queue, and no rank 0 call is lost to it`, () => {
    const [today, ranked] = [replay("today", name), replay("overload", name)];
    assert.ok(value(ranked) >= value(today) + gain, `${value(ranked)}`);
    assert.ok(onTime(ranked, 0) >= onTime(today, 0) - 0.02);
    assert.ok(onTime(ranked, 1) >= onTime(ranked, 2), "ranks in order");
  });
}

// Guards against a deployment with two ranks and no tenants that is served worse.
for (const { name } of LOADS.filter((l) => l.name.startsWith("two ranks"))) {
  test(`${name}: neither rank meets its objective less often`, () => {
    const [today, ranked] = [replay("today", name), replay("overload", name)];
    assert.ok(value(ranked) >= value(today) + 0.03, `${value(ranked)}`);
    for (const rank of [0, 1]) {
      assert.ok(onTime(ranked, rank) >= onTime(today, rank) - 0.02, `${rank}`);
    }
  });
}

// Guards against a surge whose cost is borne by the other tenants.
test("the tenant that sends 8 times its usual bears its own surge", () => {
  const runs = replay("overload", "tenant x8");
  const alone = replayAll(
    { ...load("tenant x8"), surge: 1 },
    ORDERS.overload as MakeOrder,
    SEEDS,
  );
  const others = (figures: readonly ReplayFigures[]) => {
    const all = sum(figures.map((run) => run.all));
    const surging = figures.map((run) => run.byTenant.get(SURGING_TENANT));
    const own = sum(surging);
    return (all.onTime - own.onTime) / (all.calls - own.calls);
  };
  assert.ok(
    others(runs) >= others(alone) - 0.08,
    `${others(runs)} ${others(alone)}`,
  );
  assert.ok(onTimeShare(runs, SURGING_TENANT) < others(runs));
  // No tenant is served less than a quarter as often as all.
  assert.ok(onTimeShare(runs, SURGING_TENANT) > others(runs) / 4);
});
