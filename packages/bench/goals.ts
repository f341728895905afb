import { runOnce } from "./decisions.ts";
import { Figures, quantile } from "./figures.ts";
import type { FaultCase, RunOptions } from "./simulation.ts";
import { ALLOC, COUNTER_APP, type Site } from "./sites.ts";

/** Compares what is measured with the goals of the design, section 6.1. */
export function goals(args: readonly string[]): void {
  const full = args.includes("--full");
  const seeds = full ? [1, 2, 3, 4, 5] : [1, 2, 3];
  const durationMs = full ? 20_000 : 10_000;
  for (const site of [ALLOC, COUNTER_APP]) {
    const only = args.find((arg) => arg.startsWith("--site="));
    if (only && only !== `--site=${site.name}`) continue;
    const measure = (policy: string, options: Partial<RunOptions>) => {
      const figures = new Figures();
      for (const seed of seeds) {
        figures.add(
          runOnce(policy, { ...BASE, site, durationMs, ...options, seed }),
        );
      }
      return figures;
    };
    console.log(`\n${site.name}: goals of design 6.1, seeds ${seeds.length}`);
    faultGoals(measure);
    highLoadGoals(measure);
    lowLoadGoals(site, measure);
    priorityGoal(measure);
  }
}

type Measure = (policy: string, options: Partial<RunOptions>) => Figures;

const BASE: Omit<RunOptions, "site" | "seed" | "durationMs"> = {
  load: 0.8,
  loadOf: "all",
  fault: "none",
  classes: "two",
};

const BOTH: FaultCase = "straggler+fail-fast";

function report(goal: string, value: string, met: boolean): void {
  console.log(`${met ? "met   " : "missed"} ${goal}: ${value}`);
}

/** 80% load with faults: a third of two choices, twice the oracle. */
function faultGoals(measure: Measure): void {
  for (const loadOf of ["all", "working"] as const) {
    for (const classes of ["two", "one"] as const) {
      const options = { load: 0.8, fault: BOTH, loadOf, classes };
      const [own, choices, oracle] = ["mangobank", "two-choices", "oracle"].map(
        (policy) => quantile(measure(policy, options).waiting, 99),
      ) as [number, number, number];
      const at = `80% of ${loadOf} slots, both faults, ${classes} class(es)`;
      const figures = `${own.toFixed(1)} ms, two choices ${choices.toFixed(1)}`;
      report(
        `${at}, p99 at most a third of two choices`,
        `${figures} (${(own / choices).toFixed(2)})`,
        own <= choices / 3,
      );
      report(
        `${at}, p99 at most 2x the oracle`,
        `${own.toFixed(1)} ms, oracle ${oracle.toFixed(1)}`,
        own <= 2 * oracle,
      );
    }
  }
}

/** 95% load: not worse than two choices on any seed. */
function highLoadGoals(measure: Measure): void {
  for (const load of [0.9, 0.95]) {
    for (const fault of ["none", "straggler", BOTH] as const) {
      for (const classes of ["two", "one"] as const) {
        const options = { load, fault, classes };
        const own = measure("mangobank", options).p99s;
        const choices = measure("two-choices", options).p99s;
        const ratios = own.map((p99, seed) => p99 / (choices[seed] ?? 1));
        const worst = Math.max(...ratios);
        report(
          `${100 * load}%, fault ${fault}, ${classes} class(es), ` +
            "not worse than two choices on any seed",
          `worst ratio ${worst.toFixed(2)}`,
          worst <= 1,
        );
      }
    }
  }
}

/** 30% load: no added round trip for 99% of calls; probe cost at any load. */
function lowLoadGoals(site: Site, measure: Measure): void {
  for (const fault of ["none", BOTH] as const) {
    const figures = measure("mangobank", { load: 0.3, fault });
    const asked = (100 * figures.asked) / figures.offered;
    report(
      `30%, fault ${fault}, added round trip for at most 1% of calls`,
      `${asked.toFixed(2)}%`,
      asked <= 1,
    );
    const probes = (100 * figures.probeMs) / figures.capacityMs;
    const budget = site.service.measuringBudgetPercent;
    report(
      `30%, fault ${fault}, probe cost at most ${budget}% of capacity`,
      `${probes.toFixed(3)}%`,
      probes <= budget,
    );
  }
}

/** Patient work adds nothing measurable to urgent p99. */
function priorityGoal(measure: Measure): void {
  for (const load of [0.5, 0.8]) {
    const p99 = (classes: RunOptions["classes"]) => {
      const figures = measure("mangobank", { load, classes });
      return quantile(figures.byPriority.urgent, 99);
    };
    const [two, alone] = [p99("two"), p99("urgent-only")];
    report(
      `${100 * load}%, patient work adds nothing measurable to urgent p99`,
      `${two.toFixed(1)} ms with, ${alone.toFixed(1)} ms without`,
      two <= alone + 0.1,
    );
  }
}
