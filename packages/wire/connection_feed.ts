import type { Socket } from "node:net";
import { ChunkScanner } from "./chunk_scanner.ts";
import {
  type FieldBounds,
  type FieldExcess,
  FieldLines,
  lineEnd,
} from "./field_lines.ts";
import { GrowingBuffer } from "./growing_buffer.ts";

/**
 * Unanswered requests of a connection with which no more of it is parsed. Clients
 * that pipeline more are served more slowly, in the same order. With 4, an ordinary
 * call waited behind 1,200 of a crowd of 300 clients for up to 9 s.
 */
const PENDING_REQUESTS_MAX = 2;
/** End of a head, as most clients send it. */
const HEAD_END = "\r\n\r\n";
/** A head without more bytes has fewer fields than the bound. */
const SHORT_HEAD_BYTES = 4_096;
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

/** Is told of fields that have come without their end. */
export interface FieldListener {
  readonly bounds: () => FieldBounds;
  /** So many bytes of them are held now. */
  onHeld(bytes: number): void;
  /** They have passed a bound; no more of the connection is parsed. */
  onExceeded(excess: FieldExcess): void;
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

/** Fields that have come without their end. */
interface HeldFields {
  readonly lines: FieldLines;
  readonly bytes: GrowingBuffer;
}

function noFields(): HeldFields {
  return { lines: new FieldLines(), bytes: new GrowingBuffer() };
}

/**
 * Passes the bytes of a connection to Node's parser in bounded turns. A read has
 * up to 64 KiB, with thousands of requests or chunks; Node parses it at once and
 * creates all their objects before any is answered. What is not parsed yet stays
 * in the socket's buffer, and the socket is not read meanwhile.
 *
 * The fields of a head, and those behind a chunked body, are passed on once they have
 * come to their end. Until then they are held as the bytes that came: the parser would
 * hold them as strings, which take ten times as much, and tell of them only at the end.
 */
export class ConnectionFeed {
  readonly #socket: Socket;
  readonly #parse: (bytes: Buffer) => void;
  readonly #state: FeedState;
  readonly #turns: TurnQueue;
  readonly #listener: FieldListener;
  /** Bytes of the first line of a head whose fields have not begun. */
  #firstLineBytes = 0;
  #fields: HeldFields | undefined;
  /** The chunked body that is being read, and where it is. */
  #body:
    | { request: FeedState["incomplete"]; scanner: ChunkScanner }
    | undefined;
  /** Bytes of the head that ended last. */
  headBytes = 0;
  #isWaitingForTurn = false;
  #isWaitingForAnswer = false;
  #isEnded = false;

  constructor(
    socket: Socket,
    options: {
      readonly state: FeedState;
      readonly turns: TurnQueue;
      readonly fields: FieldListener;
    },
  ) {
    this.#listener = options.fields;
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
    this.#forgetFields();
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
      const reading = this.#state.incomplete;
      const partsBefore = reading?.parts ?? 0;
      at += this.#takePart(at === 0 ? bytes : bytes.subarray(at));
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

  /** Takes bytes up to the end of one part of a request; returns how many. */
  #takePart(bytes: Buffer): number {
    const { incomplete } = this.#state;
    if (this.#fields) return this.#takeFields(bytes, this.#fields);
    if (!incomplete)
      return this.#takeWholeHead(bytes) || this.#takeFirstLine(bytes);
    const { remainingBytes } = incomplete;
    if (remainingBytes === undefined)
      return this.#takeChunked(bytes, incomplete);
    const part = bytes.subarray(0, Math.max(1, remainingBytes));
    this.#parse(part);
    return part.length;
  }

  /** Takes a short head that has come whole; returns 0 for any other. */
  #takeWholeHead(bytes: Buffer): number {
    if (this.#firstLineBytes > 0) return 0;
    const end = bytes.indexOf(HEAD_END, 0, "latin1") + HEAD_END.length;
    const isShort = end <= SHORT_HEAD_BYTES && end <= this.#bytesMax;
    if (end < HEAD_END.length || !isShort) return 0;
    this.headBytes = end;
    this.#parse(end === bytes.length ? bytes : bytes.subarray(0, end));
    return end;
  }

  get #bytesMax(): number {
    return this.#listener.bounds().bytesMax;
  }

  /** Takes the line before the fields of a head, or an empty line before it. */
  #takeFirstLine(bytes: Buffer): number {
    const end = lineEnd(bytes);
    const line = end < 0 ? bytes : bytes.subarray(0, end);
    this.#firstLineBytes += line.length;
    if (this.#firstLineBytes > this.#bytesMax) {
      this.#exceed("header_bytes");
      return line.length;
    }
    const isWhole = this.#firstLineBytes === line.length;
    if (isWhole && isBlank(line)) this.#firstLineBytes = 0;
    else if (end >= 0) this.#fields = noFields();
    this.#parse(line);
    return line.length;
  }

  #takeChunked(
    bytes: Buffer,
    request: NonNullable<FeedState["incomplete"]>,
  ): number {
    if (this.#body?.request !== request)
      this.#body = { request, scanner: new ChunkScanner() };
    const { scanner } = this.#body;
    const part = bytes.subarray(0, CHUNKED_PART_BYTES);
    const end = scanner.take(part);
    if (scanner.isAtFields) this.#fields = noFields();
    this.#parse(part.subarray(0, end));
    return end;
  }

  /** Takes fields, and passes them on if their end has come. */
  #takeFields(bytes: Buffer, held: HeldFields): number {
    const { lines, bytes: earlier } = held;
    const end = lines.take(bytes);
    const excess = lines.excess(this.#listener.bounds());
    if (excess) {
      this.#exceed(excess);
      return bytes.length;
    }
    if (end < 0) {
      earlier.append(copyOf(bytes));
      this.#listener.onHeld(earlier.capacity);
      return bytes.length;
    }
    const last = bytes.subarray(0, end);
    const isWhole = earlier.length === 0;
    const fields = isWhole ? last : Buffer.concat([earlier.take(), last]);
    this.headBytes = this.#firstLineBytes + lines.bytes;
    this.#forgetFields();
    this.#parse(fields);
    return end;
  }

  #forgetFields(): void {
    const isHeld = this.#fields !== undefined && this.#fields.bytes.length > 0;
    this.#fields = undefined;
    this.#firstLineBytes = 0;
    if (isHeld) this.#listener.onHeld(0);
  }

  #exceed(excess: FieldExcess): void {
    this.end();
    this.#listener.onExceeded(excess);
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

/** A part of a read would keep all of it, and a small buffer a shared one. */
function copyOf(bytes: Buffer): Buffer {
  const copy = Buffer.allocUnsafeSlow(bytes.length);
  bytes.copy(copy);
  return copy;
}

/** Whether a line has nothing but its end. */
function isBlank(line: Buffer): boolean {
  return line.every((byte) => byte === 10 || byte === 13);
}
