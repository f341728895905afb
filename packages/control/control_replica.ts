import type { Clock } from "#model";
import type { Logger } from "#telemetry";
import { abortableDelay } from "./abortable_delay.ts";
import type { ControlRunResult } from "./control_runs.ts";

/**
 * Time without a control process after which a host has none. The processes of a
 * host start together, and a host that lost its disk has to be a member again within
 * 4 s.
 */
export const NO_CONTROL_AFTER_MS = 2_500;
/**
 * The same on a host that has had a control process, which is only away then: a
 * restart, or a full disk. A replica would take the vote of its member, and be closed
 * again when it is back.
 */
export const CONTROL_GONE_AFTER_MS = 60_000;
const CHECK_INTERVAL_MS = 400;
/** Wait before a replica that has failed is opened again. */
const REOPEN_DELAY_MS = 1_000;

export interface ControlReplicaOptions {
  /** Whether a control process runs on this host; undefined if it cannot be told. */
  readonly findControl: () => Promise<boolean | undefined>;
  /** Whether the disk has the state of a replica, which is opened at once then. */
  readonly hasState: () => boolean;
  /** Whether a control process has been found on this host with its present disk. */
  readonly hadControl: () => boolean;
  /**
   * Records that a control process was found, and puts the state of the replica away,
   * which the member of that process replaces; it would be opened before that process
   * at a later start otherwise.
   */
  readonly recordControl: () => void;
  /** Runs control until it is told to stop. */
  readonly run: (stopRequested: Promise<void>) => Promise<ControlRunResult>;
  /** Removes the member from the log; returns once that is made, or at the signal. */
  readonly leave: (signal: AbortSignal) => Promise<void>;
  readonly stopRequested: Promise<void>;
  readonly clock: Clock;
  /** Waits for a time, or until the signal is aborted; default: with a timer. */
  readonly wait?: (ms: number, signal: AbortSignal) => Promise<void>;
  readonly logger: Logger;
}

/**
 * Runs a member of the agreed state in the process of another role, on a host that has
 * a disk but no control process. A control process that is started later replaces it,
 * once the member has left the log: its state is put away then, as if its disk were lost,
 * and other hosts may be lost at the same time. Returns once a stop was requested and the
 * member is closed.
 */
export async function runControlReplica(
  options: ControlReplicaOptions,
): Promise<void> {
  const { findControl, run, leave, logger, wait = abortableDelay } = options;
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
      await leave(signal);
    })();
    const end = await run(Promise.race([stopped, controlCame]));
    closed.abort();
    logger.info("control replica closed", { end });
    if (end.type === "failed") await wait(REOPEN_DELAY_MS, stop.signal);
  }
}

/** Waits until no control process has been seen for a while. */
async function untilHostHasNone(
  options: ControlReplicaOptions,
  signal: AbortSignal,
): Promise<void> {
  const { findControl, hasState, hadControl, recordControl, clock } = options;
  const { wait = abortableDelay } = options;
  let absentSince: number | undefined;
  while (!signal.aborted) {
    const now = clock.now();
    const isHere = await findControl();
    if (isHere) recordControl();
    if (isHere !== false) absentSince = undefined;
    else absentSince ??= now;
    const goneAfterMs = hadControl()
      ? CONTROL_GONE_AFTER_MS
      : NO_CONTROL_AFTER_MS;
    const waitMs = hasState() ? 0 : goneAfterMs;
    if (absentSince !== undefined && now - absentSince >= waitMs) return;
    await wait(CHECK_INTERVAL_MS, signal);
  }
}
