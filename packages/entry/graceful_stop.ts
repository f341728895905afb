import { type Holder, isReleased } from "#claims";
import type { Configuration } from "#model";
import { SERVE_AFTER_STOPPING_MS } from "#presence";

/** Longest stop of an entry, drain of its calls not included. */
const MAX_STOPPING_MS = 120_000;

/** Whether callers and claims have had time to turn to other entries. */
export function mayEnd(
  entry: Holder,
  options: {
    configuration: Configuration;
    stoppingForMs: number;
    /** Wall-clock time in milliseconds. */
    epoch: number;
  },
): boolean {
  const { configuration, stoppingForMs, epoch } = options;
  if (stoppingForMs < SERVE_AFTER_STOPPING_MS) return false;
  // Without control the view does not change, however long it waits.
  if (stoppingForMs > MAX_STOPPING_MS) return true;
  const { view, formerViews, document } = configuration;
  const { clockSkewMs } = document;
  return isReleased(entry, { view, formerViews, clockSkewMs }, epoch);
}
