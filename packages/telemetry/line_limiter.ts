/** Lines with the same key that are written in a row. */
const BURST_LINES = 5;
/** Time after the first line of a key until its next burst, in milliseconds. */
const WINDOW_MS = 10_000;
/** Keys that are tracked; the oldest is forgotten first. */
const MAX_KEYS = 1_000;

interface Window {
  readonly startedAt: number;
  written: number;
  omitted: number;
}

/**
 * Limits log lines with the same key, so that one server that is announced
 * wrongly again and again does not displace the lines about others.
 */
export class LineLimiter {
  readonly #windows = new Map<string, Window>();

  /**
   * Whether a line may be written: the number of lines of this key that were
   * omitted since the last one, or undefined if this one has to be omitted too.
   */
  admit(key: string, now: number): number | undefined {
    const window = this.#windows.get(key);
    if (!window || now - window.startedAt >= WINDOW_MS) {
      this.#windows.delete(key);
      if (this.#windows.size >= MAX_KEYS) this.#forgetOldest();
      this.#windows.set(key, { startedAt: now, written: 1, omitted: 0 });
      return window?.omitted ?? 0;
    }
    if (window.written < BURST_LINES) {
      window.written++;
      return 0;
    }
    window.omitted++;
    return undefined;
  }

  #forgetOldest(): void {
    const [oldest] = this.#windows.keys();
    if (oldest !== undefined) this.#windows.delete(oldest);
  }
}
