import type { Clock } from "#model";
import type { Hello } from "./messages.ts";

/** Time between two log lines about messages of one kind of one peer. */
const LINE_INTERVAL_MS = 10_000;
/** Pairs of peer and kind that are told apart; more share one line. */
const MAX_SOURCES = 256;
const OTHER_SOURCES = "others";

/** Why a message of a peer had no effect, or a part of it. */
export interface MessageRefusal {
  readonly kind: string;
  /** What is wrong with it, for the log. */
  readonly detail: string;
}

/** What was refused of one kind and peer. */
interface Source {
  loggedAt: number;
  /** Refused messages since the last line. */
  times: number;
}

/** Logs messages of peers that were refused, a bounded number of lines. */
export class RefusedMessages {
  readonly #clock: Clock;
  readonly #logger: { warn(message: string, details?: unknown): void };
  readonly #sources = new Map<string, Source>();

  constructor(options: {
    clock: Clock;
    logger: { warn(message: string, details?: unknown): void };
  }) {
    this.#clock = options.clock;
    this.#logger = options.logger;
  }

  record({ kind, detail }: MessageRefusal, peer: Hello): void {
    const source = this.#source(`${kind} ${peer.id}`);
    source.times += 1;
    const now = this.#clock.now();
    if (now - source.loggedAt < LINE_INTERVAL_MS) return;
    this.#logger.warn("message of a peer refused", {
      peer: peer.id,
      peerRole: peer.role,
      peerBuild: peer.build,
      kind,
      detail,
      times: source.times,
    });
    source.loggedAt = now;
    source.times = 0;
  }

  #source(name: string): Source {
    const known = this.#sources.get(name);
    if (known) return known;
    const isFull = this.#sources.size >= MAX_SOURCES;
    if (isFull && name !== OTHER_SOURCES) return this.#source(OTHER_SOURCES);
    const source = { loggedAt: Number.NEGATIVE_INFINITY, times: 0 };
    this.#sources.set(name, source);
    return source;
  }
}
