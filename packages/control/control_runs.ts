import { setTimeout as delay } from "node:timers/promises";
import type { Result } from "neverthrow";
import type { StopFault } from "#agreement";
import type { Logger } from "#telemetry";
import type { ControlFault } from "./control_process.ts";

/** Wait before the storage is opened again after a failed write. */
const REOPEN_DELAY_MS = 500;
/** How often it is tried then whether the disk takes writes again. */
const PROBE_INTERVAL_MS = 100;

/**
 * Longer than a replica in another process of the host needs to give up its vote, also
 * where the leader is a build that does not tell it at once, and to close.
 */
const PORT_WAIT_MS = 10_000;
const PORT_RETRY_MS = 200;

/** A running control process and everything that is closed with it. */
export interface ControlRun {
  /** Resolves when it has stopped, with the fault that stopped it if any. */
  readonly stopped: Promise<StopFault | undefined>;
  close(): Promise<void>;
}

/** Why `runControl` returned: a stop was requested (`told`) or a fault. */
export type ControlRunResult =
  | { readonly type: "told" }
  | { readonly type: "failed"; readonly fault: ControlFault | StopFault };

/**
 * Runs control until it is told to stop, and restarts it after a failed write,
 * for example on a full disk: the state in memory cannot be relied on, so the
 * data folder is read again, as after a restart of the process. Control stays
 * closed until the disk takes writes: a member that can be elected but cannot
 * write its entries would keep the others from a leader that can. Any other fault
 * ends the loop.
 */
export async function runControl(options: {
  open: () => Promise<Result<ControlRun, ControlFault>>;
  /** Tries whether the disk takes writes. */
  takesWrites: () => Promise<boolean>;
  stopRequested: Promise<void>;
  logger: Logger;
}): Promise<ControlRunResult> {
  const { open, logger } = options;
  const stopSignal = options.stopRequested.then(() => "told" as const);
  for (;;) {
    const opened = await open();
    const fault = opened.isErr()
      ? opened.error
      : await runOnce(opened.value, stopSignal);
    if (fault === "told") return { type: "told" };
    if (fault?.type !== "write_failed") {
      const closedWithoutFault = {
        type: "machine_failed",
        detail: "closed",
      } as const;
      return { type: "failed", fault: fault ?? closedWithoutFault };
    }
    logger.warn("control opens its storage again", { fault });
    let waitMs = REOPEN_DELAY_MS;
    do {
      const waited = await Promise.race([stopSignal, delay(waitMs)]);
      if (waited === "told") return { type: "told" };
      waitMs = PROBE_INTERVAL_MS;
    } while (!(await options.takesWrites()));
  }
}

/** Opens control, again for a while if one of its ports is in use. */
export async function openOnFreePort<Run>(
  open: () => Promise<Result<Run, ControlFault>>,
): Promise<Result<Run, ControlFault>> {
  for (let waitedMs = 0; ; waitedMs += PORT_RETRY_MS) {
    const opened = await open();
    const isInUse = opened.isErr() && opened.error.type === "listen_failed";
    if (!isInUse || waitedMs >= PORT_WAIT_MS) return opened;
    await delay(PORT_RETRY_MS);
  }
}

async function runOnce(
  run: ControlRun,
  stopSignal: Promise<"told">,
): Promise<StopFault | "told" | undefined> {
  const end = await Promise.race([stopSignal, run.stopped]);
  await run.close();
  return end;
}
