import { setTimeout as delay } from "node:timers/promises";

/** Waits for a time, or until the signal is aborted. */
export async function abortableDelay(
  ms: number,
  signal: AbortSignal,
): Promise<void> {
  await delay(ms, undefined, { signal }).catch(() => undefined);
}
