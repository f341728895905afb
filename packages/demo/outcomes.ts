import type { CallerResponse } from "./caller.ts";
import type { StandinRun } from "./standin_process.ts";

/** The responses that callers got to calls of one class. */
export class ClassOutcomes {
  readonly name: string;
  readonly responses: CallerResponse[] = [];

  constructor(name: string) {
    this.name = name;
  }

  count(outcome: CallerResponse["outcome"]): number {
    return this.responses.filter((response) => response.outcome === outcome)
      .length;
  }

  /** Latency in milliseconds at a quantile (0 to 1), with all resends. */
  quantile(fraction: number): number {
    const sorted = this.responses.map(({ ms }) => ms).sort((a, b) => a - b);
    const index = Math.min(
      sorted.length - 1,
      Math.floor(sorted.length * fraction),
    );
    return sorted[index] ?? 0;
  }
}

/**
 * Checks the responses against the runs at the servers. Returns a text for
 * each violated guarantee and each call that was not answered.
 */
export function findViolations(
  classes: readonly ClassOutcomes[],
  runs: readonly StandinRun[],
): string[] {
  const runsByKey = count(runs.flatMap(({ key }) => (key ? [key] : [])));
  const runsByRequestId = count(runs.map(({ requestId }) => requestId));
  const found: string[] = [];
  for (const [key, times] of runsByKey) {
    if (times > 1) found.push(`key ${key} ran ${times} times`);
  }
  for (const { name, responses } of classes) {
    for (const response of responses) {
      const { outcome, key, requestId = "", code } = response;
      const ran = key
        ? (runsByKey.get(key) ?? 0)
        : (runsByRequestId.get(requestId) ?? 0);
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
