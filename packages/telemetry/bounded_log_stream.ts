import { write } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import type { Clock } from "#model";

/** Lines that may be written at once, after a quiet time. */
const BURST_LINES = 400;
/** Lines a second that may be written all the time. */
const LINES_PER_S = 200;
/** Bytes that may wait for a reader that is slow. */
const MAX_WAITING_BYTES = 256 * 1024;

/** Longest wait for a reader at the end of the process. */
const FLUSH_WITHIN_MS = 200;
const FLUSH_CHECK_MS = 2;

/**
 * Writes log lines to a descriptor without ever blocking the caller. Lines
 * above the rate, or that a slow reader leaves no room for, are dropped and
 * counted in the next line that is written.
 */
export class BoundedLogStream {
  readonly isTTY = false;
  readonly #descriptor: number;
  readonly #clock: Clock;
  #waiting: string[] = [];
  #waitingBytes = 0;
  #writing = false;
  #tokens = BURST_LINES;
  #refilledAt: number;
  #dropped = 0;

  constructor(options: { descriptor: number; clock: Clock }) {
    this.#descriptor = options.descriptor;
    this.#clock = options.clock;
    this.#refilledAt = options.clock.now();
  }

  /** Lines dropped since the last one that was written. */
  get dropped(): number {
    return this.#dropped;
  }

  write(line: string): boolean {
    if (!this.#takeToken() || this.#waitingBytes > MAX_WAITING_BYTES) {
      this.#dropped++;
      return false;
    }
    if (this.#dropped > 0) {
      const time = new Date(this.#clock.wallTime()).toISOString();
      const lines = this.#dropped;
      const message = "log lines dropped";
      const note = { time, level: "warn", message, lines };
      this.#dropped = 0;
      this.#add(`${JSON.stringify(note)}\n`);
    }
    this.#add(line);
    this.#next();
    return true;
  }

  /** Resolves when all lines are written, or a slow reader took too long. */
  async flush(): Promise<void> {
    const end = this.#clock.now() + FLUSH_WITHIN_MS;
    while (this.#writing && this.#clock.now() < end) {
      await delay(FLUSH_CHECK_MS);
    }
  }

  #add(line: string): void {
    this.#waiting.push(line);
    this.#waitingBytes += line.length;
  }

  #takeToken(): boolean {
    const now = this.#clock.now();
    const earned = ((now - this.#refilledAt) / 1_000) * LINES_PER_S;
    this.#refilledAt = now;
    this.#tokens = Math.min(BURST_LINES, this.#tokens + earned);
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }

  #next(): void {
    if (this.#writing || this.#waiting.length === 0) return;
    this.#writing = true;
    const text = this.#waiting.join("");
    this.#waiting = [];
    this.#waitingBytes = 0;
    this.#writeAll(Buffer.from(text), 0);
  }

  #writeAll(bytes: Buffer, offset: number): void {
    write(this.#descriptor, bytes, offset, null, null, (error, written) => {
      // A reader that is gone takes no more lines.
      if (!error && offset + written < bytes.length) {
        this.#writeAll(bytes, offset + written);
        return;
      }
      this.#writing = false;
      this.#next();
    });
  }
}
