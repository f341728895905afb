/** A semaphore over the slots of a server, with a bounded FIFO queue. */
export class Slots {
  readonly #limits: { slots: number; queueLimit: number };
  readonly #waiting: (() => void)[] = [];
  #inFlight = 0;

  constructor(limits: { slots: number; queueLimit: number }) {
    this.#limits = limits;
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  get queued(): number {
    return this.#waiting.length;
  }

  /**
   * Acquires a slot, waiting in the queue if none is free. Resolves to
   * `refused` if the queue is full, and to `cancelled` if the signal aborts
   * first.
   */
  async acquire(
    signal: AbortSignal,
  ): Promise<"taken" | "refused" | "cancelled"> {
    if (signal.aborted) return "cancelled";
    if (this.#inFlight < this.#limits.slots) {
      this.#inFlight++;
      return "taken";
    }
    if (this.#waiting.length >= this.#limits.queueLimit) return "refused";
    return new Promise((resolve) => {
      const grant = () => {
        signal.removeEventListener("abort", cancel);
        resolve("taken");
      };
      const cancel = () => {
        this.#waiting.splice(this.#waiting.indexOf(grant), 1);
        resolve("cancelled");
      };
      this.#waiting.push(grant);
      signal.addEventListener("abort", cancel, { once: true });
    });
  }

  release(): void {
    const next = this.#waiting.shift();
    if (next) next();
    else this.#inFlight--;
  }
}
