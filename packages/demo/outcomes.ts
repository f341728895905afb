import type { CallerAnswer } from "./caller.ts";
import type { StandinRun } from "./standin_process.ts";

/** Answers of one class, as its callers saw them. */
export class ClassOutcomes {
  readonly name: string;
  readonly answers: CallerAnswer[] = [];

  constructor(name: string) {
    this.name = name;
  }

  count(outcome: CallerAnswer["outcome"]): number {
    return this.answers.filter((a) => a.outcome === outcome).length;
  }

  /** Latency at a quantile in milliseconds, resends included. */
  quantile(share: number): number {
    const sorted = this.answers.map(({ ms }) => ms).sort((a, b) => a - b);
    const index = Math.min(
      sorted.length - 1,
      Math.floor(sorted.length * share),
    );
    return sorted[index] ?? 0;
  }
}

/** Violations of the promises on outcomes, in words; none if all hold. */
export function violations(
  classes: readonly ClassOutcomes[],
  runs: readonly StandinRun[],
): string[] {
  const byKey = count(runs.flatMap(({ key }) => (key ? [key] : [])));
  const byRequest = count(runs.map(({ requestId }) => requestId));
  const found: string[] = [];
  for (const [key, times] of byKey) {
    if (times > 1) found.push(`key ${key} ran ${times} times`);
  }
  for (const { name, answers } of classes) {
    for (const answer of answers) {
      const { outcome, key, requestId = "", code } = answer;
      const ran = key ? (byKey.get(key) ?? 0) : (byRequest.get(requestId) ?? 0);
      if (outcome === "not-run" && ran > 0) {
        found.push(`${name} ${requestId} was told not-run but ran`);
      }
      if (outcome === "answered" && ran === 0) {
        found.push(`${name} ${requestId} was answered but never ran`);
      }
      if (outcome !== "answered") {
        found.push(`${name} ${requestId} ended as ${outcome} (${code})`);
      }
    }
  }
  return found;
}

function count(names: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1);
  return counts;
}
