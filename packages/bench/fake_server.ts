import type { EventQueue } from "./events.ts";

/** Start and end of a fault, in simulated milliseconds. */
export interface FaultPhase {
  readonly from: number;
  readonly to: number;
}

export interface FakeServerOptions {
  readonly slots: number;
  /** Calls that may wait at the server; it sheds further ones. */
  readonly queueLimit: number;
  /** Service times are multiplied by `factor` in these phases. */
  readonly slow?: readonly (FaultPhase & { readonly factor: number })[];
  /** Every call fails after 1 ms in these phases. */
  readonly failFast?: readonly FaultPhase[];
  /** Every call is answered with `not_started` in these phases. */
  readonly shedding?: readonly FaultPhase[];
  /** Start of the server, which is slower until `coldStartMs` have passed. */
  readonly startedAt?: number;
  readonly coldStartMs?: number;
}

export interface FakeAnswer {
  readonly kind: "answered" | "failed" | "not_started";
  readonly inFlight: number;
}

interface Job {
  /** Service time without slowdown, in milliseconds. */
  readonly demandMs: number;
  readonly done: (answer: FakeAnswer) => void;
}

const FAILURE_MS = 1;
/** Slowdown of a cold server at its start; it falls linearly to 1. */
const COLD_FACTOR = 4;

/** A simulated backend server with slots, a FIFO queue and faults. */
export class FakeServer {
  readonly #events: EventQueue;
  readonly #options: FakeServerOptions;
  readonly #queue: Job[] = [];
  #running = 0;
  /** Slot time spent on probes, in milliseconds. */
  probeMs = 0;

  constructor(events: EventQueue, options: FakeServerOptions) {
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
    if (this.#isWithin(this.#options.shedding)) {
      this.#answer("not_started", done);
      return;
    }
    if (this.#isWithin(this.#options.failFast)) {
      this.#events.after(FAILURE_MS, () => this.#answer("failed", done));
      return;
    }
    const job = { demandMs, done };
    if (this.#running < this.#options.slots) this.#start(job);
    else if (this.#queue.length < this.#options.queueLimit)
      this.#queue.push(job);
    else this.#answer("not_started", done);
  }

  probe(ms: number, done: (answer: FakeAnswer) => void): void {
    this.probeMs += ms;
    this.run(ms, done);
  }

  /** Factor of service times at present, from faults and a cold start. */
  slowdown(): number {
    const now = this.#events.now();
    const phase = this.#options.slow?.find((p) => now >= p.from && now < p.to);
    return (phase?.factor ?? 1) * this.#coldFactor(now);
  }

  #coldFactor(now: number): number {
    const { startedAt, coldStartMs = 0 } = this.#options;
    if (startedAt === undefined || now >= startedAt + coldStartMs) return 1;
    const warmUpShare = Math.max(0, now - startedAt) / coldStartMs;
    return COLD_FACTOR - (COLD_FACTOR - 1) * warmUpShare;
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

  #isWithin(phases: readonly FaultPhase[] | undefined): boolean {
    if (!phases) return false;
    const now = this.#events.now();
    return phases.some((phase) => now >= phase.from && now < phase.to);
  }
}
