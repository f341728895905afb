import type { IncomingMessage } from "node:http";
import { readDelayMs, UNDELAYED_PARTS } from "./response_bounds.ts";

/** Delays the reading of a response whose body comes in many short parts. */
export class ReadPacer {
  readonly #stream: IncomingMessage;
  #parts = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(stream: IncomingMessage) {
    this.#stream = stream;
  }

  /** To be called for each part of the body. */
  countPart(): void {
    this.#parts += 1;
    // The parts of a read that is under way can't be held back.
    if (this.#parts === UNDELAYED_PARTS + 1) process.nextTick(this.#delay);
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#parts = Number.NEGATIVE_INFINITY;
  }

  readonly #delay = (): void => {
    const ms = readDelayMs(this.#parts);
    if (ms === 0) return;
    this.#parts = 0;
    this.#stream.pause();
    this.#timer = setTimeout(() => this.#stream.resume(), ms);
  };
}
