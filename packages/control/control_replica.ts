import { setTimeout as delay } from "node:timers/promises";
import type { Clock } from "#model";
import type { Logger } from "#telemetry";
import type { ControlRunResult } from "./control_runs.ts";

/**
 * Time without a control process after which a host has none. The processes of a
 * host start together, and a host that lost its disk has to be a member again within
 * 4 s.
 */
const NO_CONTROL_AFTER_MS = 2_500;
const CHECK_INTERVAL_MS = 400;
/** Wait before a replica that has failed is opened again. */
const REOPEN_DELAY_MS = 1_000;

export interface ControlReplicaOptions {
  /** Whether a control process runs on this host; undefined if it cannot be told. */
  readonly findControl: () => Promise<boolean | undefined>;
  /** Whether the disk has the state of a replica, which is opened at once then. */
  readonly hasState: () => boolean;
  /**
   * Puts the state away when a control process was found, whose member replaces that of
   * the replica; it would be opened before that process at a later start otherwise.
   */
  readonly retireState: () => void;
  /** Runs control until it is told to stop. */
  readonly run: (stopRequested: Promise<void>) => Promise<ControlRunResult>;
  readonly stopRequested: Promise<void>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Runs a member of the agreed state in the process of another role, on a host that has
 * a disk but no control process. A control process that is started later replaces it.
 * Returns once a stop was requested and the member is closed.
 */
export async function runControlReplica(
  options: ControlReplicaOptions,
): Promise<void> {
  const { findControl, run, logger } = options;
  const stop = new AbortController();
  const stopped = options.stopRequested.then(() => stop.abort());
  while (!stop.signal.aborted) {
    await untilHostHasNone(options, stop.signal);
    if (stop.signal.aborted) return;
    const closed = new AbortController();
    const signal = AbortSignal.any([stop.signal, closed.signal]);
    const controlCame = (async () => {
      while (!signal.aborted && (await findControl()) !== true)
        await wait(CHECK_INTERVAL_MS, signal);
    })();
    const end = await run(Promise.race([stopped, controlCame]));
    closed.abort();
    logger.info("control replica closed", { end });
    if (end.type === "failed") await wait(REOPEN_DELAY_MS, stop.signal);
  }
}

/** Waits for a time, or until the signal is aborted. */
async function wait(ms: number, signal: AbortSignal): Promise<void> {
  await delay(ms, undefined, { signal }).catch(() => undefined);
}

/** Waits until no control process has been seen for a while. */
async function untilHostHasNone(
  { findControl, hasState, retireState, clock }: ControlReplicaOptions,
  signal: AbortSignal,
): Promise<void> {
  let absentSince: number | undefined;
  while (!signal.aborted) {
    const now = clock.now();
    const isHere = await findControl();
    if (isHere) retireState();
    if (isHere !== false) absentSince = undefined;
    else absentSince ??= now;
    const waitMs = hasState() ? 0 : NO_CONTROL_AFTER_MS;
    if (absentSince !== undefined && now - absentSince >= waitMs) return;
    await wait(CHECK_INTERVAL_MS, signal);
  }
}
