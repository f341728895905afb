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
const CHECK_INTERVAL_MS = 250;
/** Wait before a replica that has failed is opened again. */
const REOPEN_DELAY_MS = 1_000;

export interface ControlReplicaOptions {
  /** Whether a control process runs on this host. */
  readonly isControlHere: () => Promise<boolean>;
  /** Whether the disk has the state of a replica, which is opened at once then. */
  readonly hasState: () => boolean;
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
  const { isControlHere, run, logger } = options;
  let isStopping = false;
  const stopped = options.stopRequested.then(() => {
    isStopping = true;
  });
  const wait = (ms: number) => Promise.race([stopped, delay(ms)]);
  const untilControlComes = async (isNeeded: () => boolean) => {
    while (isNeeded() && !(await isControlHere()))
      await wait(CHECK_INTERVAL_MS);
  };
  while (!isStopping) {
    await untilHostHasNone(options, wait, () => isStopping);
    if (isStopping) return;
    let isRunning = true;
    const controlCame = untilControlComes(() => isRunning && !isStopping);
    const end = await run(Promise.race([stopped, controlCame]));
    isRunning = false;
    logger.info("control replica closed", { end });
    if (end.type === "failed") await wait(REOPEN_DELAY_MS);
  }
}

/** Waits until no control process has been seen for a while. */
async function untilHostHasNone(
  { isControlHere, hasState, clock }: ControlReplicaOptions,
  wait: (ms: number) => Promise<void>,
  isStopping: () => boolean,
): Promise<void> {
  const waitMs = hasState() ? 0 : NO_CONTROL_AFTER_MS;
  let absentSince: number | undefined;
  while (!isStopping()) {
    const now = clock.now();
    if (await isControlHere()) absentSince = undefined;
    else absentSince ??= now;
    if (absentSince !== undefined && now - absentSince >= waitMs) return;
    await wait(CHECK_INTERVAL_MS);
  }
}
