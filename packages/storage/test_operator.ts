import type { Simulation } from "./test_simulation.ts";

/** How long an operator waits for one host before it calls the next. */
const CALL_TIMEOUT_MS = 1_000;
/** How often it looks for the result of a call. */
const POLL_MS = 5;

/**
 * Makes a change as an operator does, who turns to the next host at once if a
 * call fails, and after `CALL_TIMEOUT_MS` without an answer.
 */
export function makeChange(
  s: Simulation,
  options: { first: number; done: (tookMs: number) => void },
): void {
  const since = s.now;
  const callNext = (at: number) => {
    const host = s.hosts[at % s.hosts.length];
    if (!host?.core) {
      s.at(POLL_MS, () => callNext(at + 1));
      return;
    }
    const { incarnation } = host;
    const id = s.submitCommand(host);
    const calledAt = s.now;
    const check = () => {
      if (s.history.acknowledged.has(id)) {
        options.done(s.now - since);
        return;
      }
      const hasFailed =
        s.history.faults.has(id) || host.incarnation !== incarnation;
      if (hasFailed || s.now - calledAt >= CALL_TIMEOUT_MS) callNext(at + 1);
      else s.at(POLL_MS, check);
    };
    check();
  };
  callNext(options.first);
}

/** Makes a change; returns how long it took, or the limit if it was longer. */
export function timeOfChange(s: Simulation, limitMs: number): number {
  let took: number | undefined;
  const done = (tookMs: number) => {
    took = tookMs;
  };
  makeChange(s, { first: 0, done });
  s.runUntil(() => took !== undefined, limitMs);
  return took ?? limitMs;
}

/** Describes how long changes took: the median and the longest. */
export function describeTimes(tookMs: readonly number[]): string {
  const sorted = [...tookMs].sort((a, b) => a - b);
  const at = (share: number) =>
    sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
  return `${sorted.length}: median ${at(0.5)} ms, 99% ${at(0.99)} ms, longest ${at(1)} ms`;
}
