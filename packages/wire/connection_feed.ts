import type { Socket } from "node:net";

/**
 * Unanswered requests of a connection with which no more of it is parsed. Clients
 * that pipeline more are served more slowly, in the same order. With 4, an ordinary
 * call waited behind 1,200 of a crowd of 300 clients for up to 9 s.
 */
const PENDING_REQUESTS_MAX = 2;
/** End of a head. Up to it, a read begins one request. */
const HEAD_END = "\r\n\r\n";
/** Bytes that are parsed at once of a head whose end has not arrived. */
const HEAD_PART_BYTES = 1_024;
/** Bytes of a chunked body that are parsed at once: some 700 chunks of one byte. */
const CHUNKED_PART_BYTES = 4_096;
/** Requests that a connection may begin in one turn. */
const TURN_REQUESTS = 4;
/** Parts of a body, and calls of the parser, that a connection may bring in one turn. */
const TURN_PARTS = 64;
/** Connections that get a turn in one round of the event loop. */
const TURNS_AT_A_TIME = 8;

/** What a connection has asked for so far. */
export interface FeedState {
  /** Requests that have been read and have no whole answer. */
  readonly pendingRequests: number;
  /** Requests that have been read. */
  readonly requests: number;
  /** Whether what follows will not be answered and need not be parsed. */
  readonly isOver: boolean;
  /** The request whose body is being read. */
  readonly incomplete:
    | {
        readonly parts: number;
        readonly remainingBytes: number | undefined;
        flush(): void;
      }
    | undefined;
}

/** Gives connections that have more to parse a turn each, a few at a time. */
export class TurnQueue {
  readonly #waiting: (() => void)[] = [];
  #isScheduled = false;

  /** Calls back in a later round of the event loop. */
  add(takeTurn: () => void): void {
    this.#waiting.push(takeTurn);
    this.#schedule();
  }

  #schedule(): void {
    if (this.#isScheduled || this.#waiting.length === 0) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      for (const takeTurn of this.#waiting.splice(0, TURNS_AT_A_TIME))
        takeTurn();
      this.#schedule();
    });
  }
}

/**
 * Passes the bytes of a connection to Node's parser in bounded turns. A read has
 * up to 64 KiB, with thousands of requests or chunks; Node parses it at once and
 * creates all their objects before any is answered. What is not parsed yet stays
 * in the socket's buffer, and the socket is not read meanwhile.
 */
export class ConnectionFeed {
  readonly #socket: Socket;
  readonly #parse: (bytes: Buffer) => void;
  readonly #state: FeedState;
  readonly #turns: TurnQueue;
  #isWaitingForTurn = false;
  #isWaitingForAnswer = false;
  #isEnded = false;

  constructor(
    socket: Socket,
    options: { readonly state: FeedState; readonly turns: TurnQueue },
  ) {
    this.#socket = socket;
    this.#state = options.state;
    this.#turns = options.turns;
    const [parse] = socket.listeners("data");
    if (!parse) throw new Error("the connection has no parser");
    this.#parse = parse as (bytes: Buffer) => void;
    socket.removeListener("data", this.#parse);
    // Node then no longer parses what it reads before the socket emits it.
    socket.on("data", (bytes: Buffer) => this.#take(bytes));
  }

  /** To be called when a request has its whole answer. */
  onAnswered(): void {
    if (!this.#isWaitingForAnswer || this.#isFull()) return;
    this.#isWaitingForAnswer = false;
    this.#waitForTurn();
  }

  /** Parses no more; what still arrives is discarded. */
  end(): void {
    this.#isEnded = true;
    this.#socket.resume();
  }

  #take(bytes: Buffer): void {
    if (this.#isEnded) return;
    // Others resume the socket too, as the reader of a body does.
    if (this.#isWaitingForTurn || this.#isWaitingForAnswer) {
      this.#putBack(bytes);
      return;
    }
    const firstRequest = this.#state.requests;
    let parts = 0;
    let at = 0;
    while (at < bytes.length) {
      if (this.#state.isOver) return;
      if (this.#isFull()) {
        this.#isWaitingForAnswer = true;
        break;
      }
      const { incomplete: reading } = this.#state;
      const partsBefore = reading?.parts ?? 0;
      const end = Math.min(bytes.length, partEnd(bytes, at, reading));
      this.#parse(
        at === 0 && end === bytes.length ? bytes : bytes.subarray(at, end),
      );
      at = end;
      this.#state.incomplete?.flush();
      if (this.#socket.destroyed || this.#isEnded) return;
      parts += 1 + (reading?.parts ?? 0) - partsBefore;
      if (at === bytes.length) return;
      // A body that is not read, or answers that are not: Node resumes the socket.
      if (this.#socket.isPaused()) break;
      if (
        this.#state.requests - firstRequest >= TURN_REQUESTS ||
        parts >= TURN_PARTS
      ) {
        this.#waitForTurn();
        break;
      }
    }
    this.#putBack(bytes.subarray(at));
  }

  /** Whether no further request is read; the body of one that has begun is. */
  #isFull(): boolean {
    const { incomplete, pendingRequests } = this.#state;
    return incomplete === undefined && pendingRequests >= PENDING_REQUESTS_MAX;
  }

  #putBack(bytes: Buffer): void {
    if (bytes.length === 0) return;
    this.#socket.pause();
    this.#socket.unshift(bytes);
  }

  #waitForTurn(): void {
    this.#isWaitingForTurn = true;
    this.#turns.add(() => {
      this.#isWaitingForTurn = false;
      // Node has paused it for unread answers, and resumes it itself.
      const { _paused: isHeld } = this.#socket as { _paused?: boolean };
      if (!isHeld && !this.#socket.destroyed) this.#socket.resume();
    });
  }
}

/** Up to where bytes may be parsed without the start of too many requests or parts. */
function partEnd(
  bytes: Buffer,
  at: number,
  reading: FeedState["incomplete"],
): number {
  if (!reading) {
    const end = bytes.indexOf(HEAD_END, at, "latin1");
    return end < 0 ? at + HEAD_PART_BYTES : end + HEAD_END.length;
  }
  const { remainingBytes } = reading;
  return at + Math.max(1, remainingBytes ?? CHUNKED_PART_BYTES);
}
