/** Requests that run at the same time, and a bounded queue before them. */
export class Slots {
  readonly #limits: { slots: number; queue: number };
  readonly #waiting: (() => void)[] = [];
  #inFlight = 0;

  constructor(limits: { slots: number; queue: number }) {
    this.#limits = limits;
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  get queued(): number {
    return this.#waiting.length;
  }

  /**
   * Takes a slot, now or when one is free. `refused` means that the queue is
   * full, `cancelled` that the signal came before a slot was free.
   */
  async take(signal: AbortSignal): Promise<"taken" | "refused" | "cancelled"> {
    if (signal.aborted) return "cancelled";
    if (this.#inFlight < this.#limits.slots) {
      this.#inFlight++;
      return "taken";
    }
    if (this.#waiting.length >= this.#limits.queue) return "refused";
    return new Promise((resolve) => {
      const turn = () => {
        signal.removeEventListener("abort", cancel);
        resolve("taken");
      };
      const cancel = () => {
        this.#waiting.splice(this.#waiting.indexOf(turn), 1);
        resolve("cancelled");
      };
      this.#waiting.push(turn);
      signal.addEventListener("abort", cancel, { once: true });
    });
  }

  release(): void {
    const next = this.#waiting.shift();
    if (next) next();
    else this.#inFlight--;
  }
}
