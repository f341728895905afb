import { type Holder, mayStopHolding } from "#claims";
import type { Configuration } from "#model";
import { SERVE_AFTER_STOPPING_MS } from "#presence";

/** Longest time that a stopping entry waits, before it drains its calls. */
const MAX_STOPPING_MS = 120_000;

/** Whether callers and claims have had time to switch to other entries. */
export function canExit(
  entry: Holder,
  options: {
    configuration: Configuration;
    stoppingForMs: number;
    /** Wall-clock time in milliseconds. */
    wallTime: number;
  },
): boolean {
  const { configuration, stoppingForMs, wallTime } = options;
  if (stoppingForMs < SERVE_AFTER_STOPPING_MS) return false;
  // Without control the view never changes, so there is nothing to wait for.
  if (stoppingForMs > MAX_STOPPING_MS) return true;
  const { view, formerViews, document } = configuration;
  const { clockSkewMs } = document;
  return mayStopHolding(entry, { view, formerViews, clockSkewMs }, wallTime);
}
