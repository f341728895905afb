import { OraclePolicy, RandomPolicy, TwoChoicesPolicy } from "./baselines.ts";
import { Figures, percentileMs } from "./figures.ts";
import { RouterPolicy } from "./router_policy.ts";
import {
  type FaultCase,
  type Policy,
  type RunOptions,
  Simulation,
} from "./simulation.ts";
import { ALLOC, COUNTER_APP, type Site } from "./sites.ts";

/** The compared policies; the first one is Mangobank's own router. */
const POLICIES: Record<string, (simulation: Simulation) => Policy> = {
  mangobank: (simulation) => new RouterPolicy(simulation),
  random: (simulation) => new RandomPolicy(simulation),
  "two-choices": (simulation) => new TwoChoicesPolicy(simulation),
  oracle: (simulation) => new OraclePolicy(simulation),
};

/** The combinations to run. */
interface BenchPlan {
  readonly sites: readonly Site[];
  readonly faults: readonly FaultCase[];
  readonly loads: readonly number[];
  readonly policies: readonly string[];
  readonly seeds: readonly number[];
  readonly durationMs: number;
  readonly classes: RunOptions["classes"];
  readonly loadOf: RunOptions["loadOf"];
}

const SHORT_PLAN: BenchPlan = {
  sites: [ALLOC, COUNTER_APP],
  faults: ["none", "straggler+fail-fast"],
  loads: [0.3, 0.8, 0.95],
  policies: Object.keys(POLICIES),
  seeds: [1, 2],
  durationMs: 10_000,
  classes: "two",
  loadOf: "all",
};

const FULL_PLAN: BenchPlan = {
  ...SHORT_PLAN,
  faults: ["none", "straggler", "fail-fast", "straggler+fail-fast"],
  loads: [0.3, 0.5, 0.8, 0.9, 0.95, 1.2],
  seeds: [1, 2, 3, 4, 5],
  durationMs: 20_000,
};

/**
 * Compares the router's choice of servers with baselines, in simulated time.
 */
export function comparePolicies(args: readonly string[]): void {
  const plan = applyOptions(
    args.includes("--full") ? FULL_PLAN : SHORT_PLAN,
    args,
  );
  for (const site of plan.sites) {
    for (const fault of plan.faults) {
      console.log(`\n${site.name}, fault: ${fault}`);
      printHead();
      for (const load of plan.loads) {
        for (const policy of plan.policies) {
          const figures = new Figures();
          for (const seed of plan.seeds) {
            const options = { ...plan, site, load, fault, seed };
            figures.add(runOnce(policy, options));
          }
          printRow(load, policy, figures);
        }
      }
    }
  }
}

/** Simulates one run with the policy of that name. */
export function runOnce(policy: string, options: RunOptions): Figures {
  const createPolicy = POLICIES[policy];
  if (!createPolicy) throw new Error(`unknown policy ${policy}`);
  return new Simulation(options).run(createPolicy);
}

/**
 * Overrides parts of a plan by options such as `--site=alloc --loads=80,95`.
 */
function applyOptions(plan: BenchPlan, args: readonly string[]): BenchPlan {
  const option = (name: string) => {
    const prefix = `--${name}=`;
    const found = args.find((arg) => arg.startsWith(prefix));
    return found?.slice(prefix.length).split(",");
  };
  const names = option("site");
  return {
    ...plan,
    sites: plan.sites.filter((site) => names?.includes(site.name) ?? true),
    faults: (option("faults") as FaultCase[] | undefined) ?? plan.faults,
    loads: option("loads")?.map((load) => Number(load) / 100) ?? plan.loads,
    policies: option("policies") ?? plan.policies,
    seeds: option("seeds")?.map(Number) ?? plan.seeds,
    classes: (option("classes")?.[0] as BenchPlan["classes"]) ?? plan.classes,
    loadOf: (option("load-of")?.[0] as BenchPlan["loadOf"]) ?? plan.loadOf,
    durationMs: Number(option("ms")?.[0] ?? plan.durationMs),
  };
}

const COLUMNS = [
  ["load", 5],
  ["policy", 12],
  ["latency p50/p99/p99.9", 22],
  ["waiting p50/p99/p99.9", 22],
  ["urgent waiting", 21],
  ["patient waiting", 21],
  ["rejected%", 10],
  ["failed%", 8],
  ["probe%", 7],
  ["asked%", 7],
  ["msg/call", 9],
  ["waiting p99 by seed", 1],
] as const;

function printHead(): void {
  console.log(COLUMNS.map(([name, width]) => name.padEnd(width)).join(" "));
}

function printRow(load: number, policy: string, figures: Figures): void {
  const { byPriority, offered } = figures;
  const percent = (count: number) => ((100 * count) / offered).toFixed(2);
  const cells = [
    `${Math.round(load * 100)}%`,
    policy,
    percentiles(figures.latency),
    percentiles(figures.waiting),
    percentiles(byPriority.urgent),
    percentiles(byPriority.patient),
    percent(figures.rejected),
    percent(figures.failed),
    ((100 * figures.probeMs) / figures.capacityMs).toFixed(3),
    percent(figures.deferred),
    (figures.messages / offered).toFixed(2),
    figures.waitingP99sMs.map((p99) => p99.toFixed(1)).join(" "),
  ];
  console.log(
    cells.map((cell, i) => cell.padEnd(COLUMNS[i]?.[1] ?? 1)).join(" "),
  );
}

function percentiles(from: Figures["latency"]): string {
  return [50, 99, 99.9].map((p) => percentileMs(from, p).toFixed(1)).join("/");
}
