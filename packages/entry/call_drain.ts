import { setTimeout as delay } from "node:timers/promises";
import type { Clock, Configuration } from "#model";
import type { Logger } from "#telemetry";
import type { CallProgress } from "./call_execution.ts";
import type { CallerServer } from "./caller_server.ts";
import { canExit } from "./graceful_stop.ts";
import { StopSchedule } from "./stop_schedule.ts";

/** How often to check whether callers and claims still need this entry. */
const RELEASE_CHECK_INTERVAL_MS = 100;

/** Longest time in which new connections are accepted as long as some wait. */
const MAX_QUEUE_MS = 2_000;

/** Longest wait for callers that read their answers slowly. */
const MAX_DRAIN_MS = 60_000;

export interface DrainOptions {
  /** Longest time of the drain; unlimited if absent. */
  readonly timeoutMs: number | undefined;
  readonly self: { readonly id: string; readonly incarnation: number };
  readonly configuration: () => Configuration;
  readonly callers: CallerServer;
  /** Called at the start of a stop that has a timeout. */
  readonly onSchedule: (schedule: StopSchedule) => void;
  /** What is known of each call in progress. */
  readonly progress: () => readonly CallProgress[];
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Stops accepting calls and waits for those in progress, up to the timeout. */
export function drainCalls(options: DrainOptions): Promise<void> {
  const { timeoutMs } = options;
  return timeoutMs === undefined
    ? drainWhenReleased(options)
    : drainWithin(timeoutMs, options);
}

/**
 * Accepts calls for a part of the timeout, as far as they can end within it,
 * then waits for those in progress.
 */
async function drainWithin(
  timeoutMs: number,
  options: DrainOptions,
): Promise<void> {
  const { callers, clock, logger } = options;
  const startedAt = clock.now();
  const schedule = new StopSchedule({ startedAt, limitMs: timeoutMs });
  callers.closeAfterResponses();
  options.onSchedule(schedule);
  await delay(schedule.acceptUntil - startedAt);
  await callers.stopListening(clock, schedule.queueUntil);
  await callers.answered(clock, schedule.end);
  const calls = callers.pendingRequests;
  if (calls === 0) {
    await callers.endIdle(clock);
    return;
  }
  logger.warn("calls cut by the stop", { calls });
  for (const call of options.progress()) {
    logger.warn("call cut by the stop", { ...call, stopMs: timeoutMs });
  }
}

/** Accepts calls until no caller or claim needs this entry, then drains. */
async function drainWhenReleased(options: DrainOptions): Promise<void> {
  const { self, configuration, callers, clock } = options;
  const startedAt = clock.now();
  const mayExit = () =>
    canExit(self, {
      configuration: configuration(),
      stoppingForMs: clock.now() - startedAt,
      wallTime: clock.wallTime(),
    });
  while (!mayExit()) await delay(RELEASE_CHECK_INTERVAL_MS);
  await callers.stopListening(clock, clock.now() + MAX_QUEUE_MS);
  await callers.answered(clock, clock.now() + MAX_DRAIN_MS);
  await callers.endIdle(clock);
}
