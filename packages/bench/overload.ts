import { LOADS, type ReplayLoad, SURGING_TENANT } from "./overload_loads.ts";
import { CodelOrder, SortedOrder, TodaysOrder } from "./overload_orders.ts";
import { RankedOrder } from "./overload_ranked.ts";
import {
  type MakeOrder,
  type Outcomes,
  Replay,
  type ReplayFigures,
} from "./overload_replay.ts";

/** The compared orders of waiting calls by name. */
export const ORDERS: Readonly<Record<string, MakeOrder>> = {
  today: (room, refuse) => new TodaysOrder(room, refuse),
  "strict ranks": (room, refuse) =>
    new SortedOrder(room, refuse, (a, b) => a.class.rank - b.class.rank),
  "earliest objective": (room, refuse) =>
    new SortedOrder(room, refuse, (a, b) => a.seenTarget - b.seenTarget),
  "CoDel+LIFO": (room, refuse) => new CodelOrder(room, refuse),
  overload: (room, refuse) => new RankedOrder(room, refuse),
};

/** The sums of several seeds. */
export function replayAll(
  load: ReplayLoad,
  makeOrder: MakeOrder,
  seeds: readonly number[],
): ReplayFigures[] {
  return seeds.map((seed) => new Replay(load, seed, makeOrder).run());
}

/** Compares orders of waiting calls on the same seeded overloads. */
export function compareOrders(args: readonly string[]): void {
  const seeds = args.includes("--full") ? [1, 2, 3, 4, 5] : [1, 2];
  const prefix = "--orders=";
  const names = args
    .find((arg) => arg.startsWith(prefix))
    ?.slice(prefix.length)
    .split(",");
  for (const load of LOADS) {
    console.log(`\n${load.name}, seeds ${seeds.length}`);
    console.log(
      "order               on time % by rank     served %  value %  " +
        "refusals, wait p50/p99 ms   worst other tenant / mean, surging tenant on time %",
    );
    for (const [name, makeOrder] of Object.entries(ORDERS)) {
      if (names && !names.includes(name)) continue;
      console.log(row(name, replayAll(load, makeOrder, seeds)));
    }
  }
}

function row(name: string, runs: readonly ReplayFigures[]): string {
  const ranks = [...new Set(runs.flatMap(({ byRank }) => [...byRank.keys()]))];
  const byRank = ranks
    .sort((a, b) => a - b)
    .map((rank) => percent(sum(runs.map((r) => r.byRank.get(rank))), "onTime"));
  const all = sum(runs.map((run) => run.all));
  const served = (100 * (all.onTime + all.late)) / all.calls;
  const waits = runs.flatMap((r) => r.refusedWaitsMs).sort((a, b) => a - b);
  return [
    name.padEnd(19),
    byRank.join(" / ").padEnd(21),
    served.toFixed(1).padEnd(9),
    percent(all, "value").padEnd(8),
    `${waits.length}, ${quantile(waits, 0.5)}/${quantile(waits, 0.99)}`.padEnd(
      27,
    ),
    worstTenantRatio(runs).toFixed(2),
    (100 * onTimeShare(runs, SURGING_TENANT)).toFixed(1),
  ].join(" ");
}

/**
 * Least share served on time of the calls of a tenant other than the surging
 * one, relative to the share of all calls.
 */
export function worstTenantRatio(runs: readonly ReplayFigures[]): number {
  const all = sum(runs.map((run) => run.all));
  const tenants = new Set(runs.flatMap((run) => [...run.byTenant.keys()]));
  const ratios = [...tenants]
    .filter((tenant) => tenant !== SURGING_TENANT)
    .map((tenant) => onTimeShare(runs, tenant) / (all.onTime / all.calls));
  return Math.min(...ratios);
}

/** Share of a tenant's calls that met their objective. */
export function onTimeShare(
  runs: readonly ReplayFigures[],
  tenant: string,
): number {
  const own = sum(runs.map((run) => run.byTenant.get(tenant)));
  return own.onTime / own.calls;
}

export function sum(groups: readonly (Outcomes | undefined)[]): Outcomes {
  const total = { calls: 0, onTime: 0, late: 0, refused: 0, value: 0 };
  for (const group of groups) {
    if (!group) continue;
    total.calls += group.calls;
    total.onTime += group.onTime;
    total.late += group.late;
    total.refused += group.refused;
    total.value += group.value;
  }
  return total;
}

function percent(outcomes: Outcomes, field: "onTime" | "value"): string {
  return ((100 * outcomes[field]) / outcomes.calls).toFixed(1);
}

function quantile(sorted: readonly number[], share: number): string {
  const index = Math.floor(share * (sorted.length - 1));
  return (sorted[index] ?? 0).toFixed(0);
}
