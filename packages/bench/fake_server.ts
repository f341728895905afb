import type { Events } from "./events.ts";

/** A time span in which a server misbehaves; milliseconds. */
export interface Phase {
  readonly from: number;
  readonly to: number;
}

export interface FakeServerOptions {
  readonly slots: number;
  /** Calls that wait at the server before it sheds. */
  readonly queue: number;
  /** Service times are this many times longer in these phases. */
  readonly slow?: readonly (Phase & { readonly factor: number })[];
  /** Every call fails after 1 ms in these phases. */
  readonly failFast?: readonly Phase[];
  /** Every call is refused as not started in these phases. */
  readonly shedding?: readonly Phase[];
  /** Start of the server; service is slower while it is cold. */
  readonly startedAt?: number;
  readonly coldStartMs?: number;
}

export interface FakeAnswer {
  readonly kind: "answered" | "failed" | "not_started";
  readonly inFlight: number;
}

interface Job {
  readonly demandMs: number;
  readonly done: (answer: FakeAnswer) => void;
}

const FAIL_MS = 1;
/** A cold server needs this many times the service time at its start. */
const COLD_FACTOR = 4;

/** A backend server: slots, a queue in order of arrival, and faults. */
export class FakeServer {
  readonly #events: Events;
  readonly #options: FakeServerOptions;
  readonly #queue: Job[] = [];
  #running = 0;
  /** Slot time spent on probes, in milliseconds. */
  probeMs = 0;

  constructor(events: Events, options: FakeServerOptions) {
    this.#events = events;
    this.#options = options;
  }

  get inFlight(): number {
    return this.#running + this.#queue.length;
  }

  get freeSlots(): number {
    return Math.max(0, this.#options.slots - this.inFlight);
  }

  run(demandMs: number, done: (answer: FakeAnswer) => void): void {
    if (this.#in(this.#options.shedding)) {
      this.#answer("not_started", done);
      return;
    }
    if (this.#in(this.#options.failFast)) {
      this.#events.after(FAIL_MS, () => this.#answer("failed", done));
      return;
    }
    const job = { demandMs, done };
    if (this.#running < this.#options.slots) this.#start(job);
    else if (this.#queue.length < this.#options.queue) this.#queue.push(job);
    else this.#answer("not_started", done);
  }

  probe(ms: number, done: (answer: FakeAnswer) => void): void {
    this.probeMs += ms;
    this.run(ms, done);
  }

  slowdown(): number {
    const now = this.#events.now();
    const phase = this.#options.slow?.find((p) => now >= p.from && now < p.to);
    return (phase?.factor ?? 1) * this.#coldFactor(now);
  }

  #coldFactor(now: number): number {
    const { startedAt, coldStartMs = 0 } = this.#options;
    if (startedAt === undefined || now >= startedAt + coldStartMs) return 1;
    const warmth = Math.max(0, now - startedAt) / coldStartMs;
    return COLD_FACTOR - (COLD_FACTOR - 1) * warmth;
  }

  #start(job: Job): void {
    this.#running += 1;
    this.#events.after(job.demandMs * this.slowdown(), () => {
      this.#running -= 1;
      const next = this.#queue.shift();
      if (next) this.#start(next);
      this.#answer("answered", job.done);
    });
  }

  #answer(kind: FakeAnswer["kind"], done: Job["done"]): void {
    done({ kind, inFlight: this.inFlight });
  }

  #in(phases: readonly Phase[] | undefined): boolean {
    if (!phases) return false;
    const now = this.#events.now();
    return phases.some((phase) => now >= phase.from && now < phase.to);
  }
}
