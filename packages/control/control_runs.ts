import { setTimeout as delay } from "node:timers/promises";
import type { Result } from "neverthrow";
import type { StopFault } from "#agreement";
import type { Logger } from "#telemetry";
import type { ControlFault } from "./control_process.ts";

/** Wait before the storage is opened again after a fault of the disk. */
const REOPEN_AFTER_MS = 500;

/** A control process that runs, with what belongs to it. */
export interface ControlRun {
  /** Settles when it has stopped by itself; with the fault that stopped it. */
  readonly stopped: Promise<StopFault | undefined>;
  close(): Promise<void>;
}

export type ControlRunsEnd =
  | { readonly type: "told" }
  | { readonly type: "failed"; readonly fault: ControlFault | StopFault };

/**
 * Runs control until it is told to stop. After a write that failed, for example
 * on a full disk, nothing that is in memory may be relied on: the folder is read
 * again, as after a restart, until the disk takes writes. Other faults end it.
 */
export async function runControl(options: {
  open: () => Promise<Result<ControlRun, ControlFault>>;
  told: Promise<void>;
  logger: Logger;
}): Promise<ControlRunsEnd> {
  const { open, logger } = options;
  const told = options.told.then(() => "told" as const);
  for (;;) {
    const opened = await open();
    const fault = opened.isErr()
      ? opened.error
      : await runOnce(opened.value, told);
    if (fault === "told") return { type: "told" };
    if (fault?.type !== "write_failed") {
      const closed = { type: "machine_failed", detail: "closed" } as const;
      return { type: "failed", fault: fault ?? closed };
    }
    logger.warn("control opens its storage again", { fault });
    if ((await Promise.race([told, delay(REOPEN_AFTER_MS)])) === "told") {
      return { type: "told" };
    }
  }
}

async function runOnce(
  run: ControlRun,
  told: Promise<"told">,
): Promise<StopFault | "told" | undefined> {
  const end = await Promise.race([told, run.stopped]);
  await run.close();
  return end;
}
