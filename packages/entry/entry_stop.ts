import { setTimeout as delay } from "node:timers/promises";
import type { Clock, Configuration } from "#model";
import type { Logger } from "#telemetry";
import type { CallerServer } from "./caller_server.ts";
import { mayEnd } from "./graceful_stop.ts";

/**
 * Part of a bounded stop in which new calls are still taken: callers may use an
 * old answer about addresses, and the last calls need time to end.
 */
const SERVE_ON_SHARE = 0.6;
/** How often the end of the calls under way is looked for. */
const CHECK_EVERY_MS = 20;
/** How often callers and claims are looked at. */
const RELEASE_CHECK_EVERY_MS = 100;

export interface EntryStop {
  /** Longest time of the stop; without it, as long as callers need. */
  readonly withinMs: number | undefined;
  readonly self: { readonly id: string; readonly incarnation: number };
  readonly configuration: () => Configuration;
  readonly callers: CallerServer;
  /** Calls under way. */
  readonly running: () => number;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Serves on and ends the calls under way, as long as the stop allows. */
export function endCalls(stop: EntryStop): Promise<void> {
  const { withinMs } = stop;
  return withinMs === undefined
    ? stopWhenReleased(stop)
    : stopWithin(withinMs, stop);
}

/** Serves on for a part of the time, then waits for the calls under way. */
async function stopWithin(ms: number, stop: EntryStop): Promise<void> {
  const { callers, running, clock, logger } = stop;
  const end = clock.now() + ms;
  callers.sendAway();
  await delay(ms * SERVE_ON_SHARE);
  void callers.drain();
  while (running() > 0 && clock.now() < end) await delay(CHECK_EVERY_MS);
  if (running() === 0) return;
  logger.warn("calls cut by the stop", { calls: running() });
}

/** Serves on until answers that name this entry have run out, then drains. */
async function stopWhenReleased(stop: EntryStop): Promise<void> {
  const { self, configuration, callers, running, clock } = stop;
  const began = clock.now();
  const ended = () =>
    mayEnd(self, {
      configuration: configuration(),
      stoppingForMs: clock.now() - began,
      epoch: clock.wallTime(),
    });
  while (!ended()) await delay(RELEASE_CHECK_EVERY_MS);
  await callers.drain();
  while (running() > 0) await delay(CHECK_EVERY_MS);
}
