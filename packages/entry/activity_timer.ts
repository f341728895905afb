import type { Clock } from "#model";

/** Period while there is work: queues and timeouts are looked at this often. */
const BUSY_MS = 5;
/** Period without work; each wake-up costs an idle entry processor time. */
const IDLE_MS = 50;
/** Time after the last activity for which the short period stays. */
const LINGER_MS = 200;

/** Runs a task often while the process has work, and rarely otherwise. */
export class ActivityTimer {
  readonly #clock: Clock;
  readonly #task: () => void;
  #timer: NodeJS.Timeout | undefined;
  #period = IDLE_MS;
  #activeUntil = Number.NEGATIVE_INFINITY;
  #stopped = true;

  constructor(options: { clock: Clock; task: () => void }) {
    this.#clock = options.clock;
    this.#task = options.task;
  }

  start(): void {
    this.#stopped = false;
    this.#schedule();
  }

  /** There is work now. */
  wake(): void {
    this.#activeUntil = this.#clock.now() + LINGER_MS;
    if (this.#stopped || this.#period === BUSY_MS) return;
    clearTimeout(this.#timer);
    this.#schedule();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  #schedule(): void {
    const busy = this.#clock.now() < this.#activeUntil;
    this.#period = busy ? BUSY_MS : IDLE_MS;
    this.#timer = setTimeout(() => {
      this.#task();
      if (!this.#stopped) this.#schedule();
    }, this.#period);
  }
}
