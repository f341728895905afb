import { runOnce } from "./decisions.ts";
import { Figures, percentileMs } from "./figures.ts";
import type { FaultCase, RunOptions } from "./simulation.ts";
import { ALLOC, COUNTER_APP, type Site } from "./sites.ts";

/** Checks simulated results against the goals in section 6.1 of the design. */
export function checkGoals(args: readonly string[]): void {
  const full = args.includes("--full");
  const seeds = full ? [1, 2, 3, 4, 5] : [1, 2, 3];
  const durationMs = full ? 20_000 : 10_000;
  for (const site of [ALLOC, COUNTER_APP]) {
    const siteOption = args.find((arg) => arg.startsWith("--site="));
    if (siteOption && siteOption !== `--site=${site.name}`) continue;
    const measure = (policy: string, options: Partial<RunOptions>) => {
      const figures = new Figures();
      for (const seed of seeds) {
        figures.add(
          runOnce(policy, {
            ...BASE_OPTIONS,
            site,
            durationMs,
            ...options,
            seed,
          }),
        );
      }
      return figures;
    };
    console.log(`\n${site.name}: goals of design 6.1, seeds ${seeds.length}`);
    checkFaultGoals(measure);
    checkHighLoadGoals(measure);
    checkLowLoadGoals(site, measure);
    checkPriorityGoal(measure);
  }
}

/** Runs a policy with several seeds. */
type Measure = (policy: string, options: Partial<RunOptions>) => Figures;

const BASE_OPTIONS: Omit<RunOptions, "site" | "seed" | "durationMs"> = {
  load: 0.8,
  loadOf: "all",
  fault: "none",
  classes: "two",
};

const BOTH_FAULTS: FaultCase = "straggler+fail-fast";

function reportGoal(goal: string, value: string, met: boolean): void {
  console.log(`${met ? "met   " : "missed"} ${goal}: ${value}`);
}

/**
 * At 80% load with faults, the p99 of waiting is at most a third of that of two
 * choices and twice that of the oracle.
 */
function checkFaultGoals(measure: Measure): void {
  for (const loadOf of ["all", "working"] as const) {
    for (const classes of ["two", "one"] as const) {
      const options = { load: 0.8, fault: BOTH_FAULTS, loadOf, classes };
      const [mangobank, twoChoices, oracle] = [
        "mangobank",
        "two-choices",
        "oracle",
      ].map((policy) => percentileMs(measure(policy, options).waiting, 99)) as [
        number,
        number,
        number,
      ];
      const conditions = `80% of ${loadOf} slots, both faults, ${classes} class(es)`;
      const figures = `${mangobank.toFixed(1)} ms, two choices ${twoChoices.toFixed(1)}`;
      reportGoal(
        `${conditions}, p99 at most a third of two choices`,
        `${figures} (${(mangobank / twoChoices).toFixed(2)})`,
        mangobank <= twoChoices / 3,
      );
      reportGoal(
        `${conditions}, p99 at most 2x the oracle`,
        `${mangobank.toFixed(1)} ms, oracle ${oracle.toFixed(1)}`,
        mangobank <= 2 * oracle,
      );
    }
  }
}

/**
 * At 90% and 95% load, the p99 of waiting never exceeds that of two choices.
 */
function checkHighLoadGoals(measure: Measure): void {
  for (const load of [0.9, 0.95]) {
    for (const fault of ["none", "straggler", BOTH_FAULTS] as const) {
      for (const classes of ["two", "one"] as const) {
        const options = { load, fault, classes };
        const mangobank = measure("mangobank", options).waitingP99sMs;
        const twoChoices = measure("two-choices", options).waitingP99sMs;
        const ratios = mangobank.map(
          (p99, seed) => p99 / (twoChoices[seed] ?? 1),
        );
        const worst = Math.max(...ratios);
        reportGoal(
          `${100 * load}%, fault ${fault}, ${classes} class(es), ` +
            "not worse than two choices on any seed",
          `worst ratio ${worst.toFixed(2)}`,
          worst <= 1,
        );
      }
    }
  }
}

/**
 * At 30% load, 99% of calls need no extra round trip, and probes stay cheap.
 */
function checkLowLoadGoals(site: Site, measure: Measure): void {
  for (const fault of ["none", BOTH_FAULTS] as const) {
    const figures = measure("mangobank", { load: 0.3, fault });
    const deferredPercent = (100 * figures.deferred) / figures.offered;
    reportGoal(
      `30%, fault ${fault}, added round trip for at most 1% of calls`,
      `${deferredPercent.toFixed(2)}%`,
      deferredPercent <= 1,
    );
    const probePercent = (100 * figures.probeMs) / figures.capacityMs;
    const budget = site.service.measuringBudgetPercent;
    reportGoal(
      `30%, fault ${fault}, probe cost at most ${budget}% of capacity`,
      `${probePercent.toFixed(3)}%`,
      probePercent <= budget,
    );
  }
}

/** Patient calls add nothing measurable to the p99 of urgent waiting. */
function checkPriorityGoal(measure: Measure): void {
  for (const load of [0.5, 0.8]) {
    const p99 = (classes: RunOptions["classes"]) => {
      const figures = measure("mangobank", { load, classes });
      return percentileMs(figures.byPriority.urgent, 99);
    };
    const [two, alone] = [p99("two"), p99("urgent-only")];
    reportGoal(
      `${100 * load}%, patient work adds nothing measurable to urgent p99`,
      `${two.toFixed(1)} ms with, ${alone.toFixed(1)} ms without`,
      two <= alone + 0.1,
    );
  }
}
