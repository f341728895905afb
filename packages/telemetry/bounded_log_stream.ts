import { write, writeSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";
import type { Clock } from "#model";

/** Size of the token bucket: lines that may be written in one burst. */
const BURST_LINES = 400;
/** Sustained rate, in lines per second. */
const LINES_PER_S = 200;
/** Buffer size above which lines are dropped, as the reader is too slow. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Longest wait in `flush` for a slow reader. */
const FLUSH_TIMEOUT_MS = 200;
const FLUSH_POLL_MS = 2;

/**
 * Longest wait in `writeLast` for a write that has begun. A reader that takes
 * longer may have stopped reading, and writing to it could block for ever.
 */
const LAST_WRITE_TIMEOUT_MS = 100;

/**
 * Writes log lines to a file descriptor without blocking the caller. Lines
 * beyond the rate limit, or for which a slow reader leaves no room in the
 * buffer, are dropped; the next line written is preceded by their count.
 */
export class BoundedLogStream {
  readonly isTTY = false;
  readonly #descriptor: number;
  readonly #clock: Clock;
  #buffer: string[] = [];
  #bufferedBytes = 0;
  #writing = false;
  /** Number of writes that have begun. */
  #writes = 0;
  /** Whether the write in progress takes too long though the process is free. */
  #isStuck = false;
  #tokens = BURST_LINES;
  #refilledAt: number;
  #dropped = 0;

  constructor(options: { descriptor: number; clock: Clock }) {
    this.#descriptor = options.descriptor;
    this.#clock = options.clock;
    this.#refilledAt = options.clock.now();
  }

  /** Number of lines dropped since the last line that was written. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Buffers a line for writing; returns false if it is dropped. */
  write(line: string): boolean {
    if (!this.#takeToken() || this.#bufferedBytes > MAX_BUFFERED_BYTES) {
      this.#dropped++;
      return false;
    }
    if (this.#dropped > 0) {
      const time = new Date(this.#clock.wallTime()).toISOString();
      const lines = this.#dropped;
      const message = "log lines dropped";
      const droppedLine = { time, level: "warn", message, lines };
      this.#dropped = 0;
      this.#append(`${JSON.stringify(droppedLine)}\n`);
    }
    this.#append(line);
    this.#writeBuffer();
    return true;
  }

  /**
   * Writes what is buffered and one more line before it returns, for a process
   * that ends. The rate limit does not apply. Returns false if it is lost,
   * since the reader is gone or does not read.
   */
  writeLast(line: string): boolean {
    if (this.#isStuck) return false;
    // The write in progress goes on in another thread, but its callback can't
    // run before this returns.
    if (this.#writing) this.#block(LAST_WRITE_TIMEOUT_MS);
    const text = [...this.#buffer, line].join("");
    this.#buffer = [];
    this.#bufferedBytes = 0;
    return this.#writeAllNow(Buffer.from(text));
  }

  /** Resolves when all lines are written, or after a timeout. */
  async flush(): Promise<void> {
    const deadline = this.#clock.now() + FLUSH_TIMEOUT_MS;
    while (this.#writing && this.#clock.now() < deadline) {
      await delay(FLUSH_POLL_MS);
    }
  }

  /**
   * Marks a write as stuck if it lasts through a timeout and the events after it: a
   * process that was busy all the time has not read yet that the write has ended.
   */
  #watchWrite(): void {
    const write = ++this.#writes;
    const check = () => {
      this.#isStuck = this.#writing && this.#writes === write;
    };
    setTimeout(() => setImmediate(check), LAST_WRITE_TIMEOUT_MS).unref();
  }

  #writeAllNow(bytes: Buffer): boolean {
    const deadline = this.#clock.now() + LAST_WRITE_TIMEOUT_MS;
    let offset = 0;
    while (offset < bytes.length) {
      try {
        offset += writeSync(this.#descriptor, bytes, offset);
      } catch (error) {
        const { code } = error as NodeJS.ErrnoException;
        const isFull = code === "EAGAIN" && this.#clock.now() < deadline;
        if (!isFull) return false;
        this.#block(FLUSH_POLL_MS);
      }
    }
    return true;
  }

  /**
   * Keeps the thread, as a process that ends gets no further callback. The
   * platform allows no shared memory, which a sleep would need.
   */
  #block(ms: number): void {
    const until = this.#clock.now() + ms;
    while (this.#clock.now() < until);
  }

  #append(line: string): void {
    this.#buffer.push(line);
    this.#bufferedBytes += line.length;
  }

  #takeToken(): boolean {
    const now = this.#clock.now();
    const refill = ((now - this.#refilledAt) / 1_000) * LINES_PER_S;
    this.#refilledAt = now;
    this.#tokens = Math.min(BURST_LINES, this.#tokens + refill);
    if (this.#tokens < 1) return false;
    this.#tokens--;
    return true;
  }

  #writeBuffer(): void {
    if (this.#writing || this.#buffer.length === 0) return;
    this.#writing = true;
    this.#watchWrite();
    const text = this.#buffer.join("");
    this.#buffer = [];
    this.#bufferedBytes = 0;
    this.#writeAll(Buffer.from(text), 0);
  }

  #writeAll(bytes: Buffer, offset: number): void {
    write(this.#descriptor, bytes, offset, null, null, (error, written) => {
      // After an error, the rest of the buffer is discarded: the reader is
      // gone.
      if (!error && offset + written < bytes.length) {
        this.#writeAll(bytes, offset + written);
        return;
      }
      this.#writing = false;
      this.#isStuck = false;
      this.#writeBuffer();
    });
  }
}
