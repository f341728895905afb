import type { ResponseBound } from "#model";

/** Informational responses (1xx) that may precede the final one. */
export const MAX_INFORMATIONAL_RESPONSES = 16;
/** Bytes that all informational responses to a request may have together. */
export const MAX_INFORMATIONAL_BYTES = 32 * 1024;

/** Bytes between two parts of a body that are not of the body. */
export const MAX_FRAMING_BYTES = 128 * 1024;

/** Parts of a body in one read that cause no delay. */
export const UNDELAYED_PARTS = 64;
/** Approximate time to process one part of a body, in milliseconds. */
const PART_MS = 0.002;
/** Share of the event loop that a response in many parts may take. */
const PART_TIME_SHARE = 0.05;

/**
 * Time before the next read of a response, in milliseconds, after one that had
 * the given number of parts. Short chunks take more time than their bytes.
 */
export function readDelayMs(parts: number): number {
  if (parts <= UNDELAYED_PARTS) return 0;
  return Math.ceil((parts * PART_MS) / PART_TIME_SHARE);
}

/** What a server's response may take of an entry at most. */
export interface ResponseLimits {
  readonly bodyMaxBytes: number;
}

/** A bound that a response has exceeded. */
export interface ExceededBound {
  readonly bound: ResponseBound;
  /** Bytes of the part that is bounded, so far or as announced. */
  readonly bytes: number;
}

/** Decides whether one response stays within its bounds. */
export class ResponseMeter {
  readonly #limits: ResponseLimits;
  #informationalCount = 0;
  #informationalBytes = 0;
  #framingBytes = 0;
  #bodyBytes = 0;

  constructor(limits: ResponseLimits) {
    this.#limits = limits;
  }

  /** Counts an informational response of the given size. */
  countInformational(size: number): ExceededBound | undefined {
    this.#informationalCount += 1;
    this.#informationalBytes += size;
    const bytes = this.#informationalBytes;
    if (this.#informationalCount > MAX_INFORMATIONAL_RESPONSES) {
      return { bound: "informational_count", bytes };
    }
    return bytes > MAX_INFORMATIONAL_BYTES
      ? { bound: "informational_bytes", bytes }
      : undefined;
  }

  /** To be called with the `Content-Length` of a response that has a body. */
  checkLength(header: string | undefined): ExceededBound | undefined {
    const bytes = Number(header ?? 0);
    return bytes > this.#limits.bodyMaxBytes
      ? { bound: "body_bytes", bytes }
      : undefined;
  }

  /** Counts bytes that were received after the head, before they are parsed. */
  countReceived(bytes: number): ExceededBound | undefined {
    this.#framingBytes += bytes;
    return this.#framingBytes > MAX_FRAMING_BYTES
      ? { bound: "framing_bytes", bytes: this.#framingBytes }
      : undefined;
  }

  /** To be called when a part of the body was parsed. */
  recordPart(): void {
    this.#framingBytes = 0;
  }

  /** Counts bytes of the body that are forwarded. */
  countBody(bytes: number): ExceededBound | undefined {
    this.#bodyBytes += bytes;
    return this.#bodyBytes > this.#limits.bodyMaxBytes
      ? { bound: "body_bytes", bytes: this.#bodyBytes }
      : undefined;
  }

  /**
   * To be called at the deadline of the request. A response that has been
   * received to its end may still be delivered.
   */
  checkDeadline(isReceived: boolean): ExceededBound | undefined {
    return isReceived
      ? undefined
      : { bound: "deadline", bytes: this.#bodyBytes };
  }
}

/** A short description of an exceeded bound, for callers and log lines. */
export function describeExceededBound({ bound, bytes }: ExceededBound): string {
  return `the response exceeded ${bound} with ${bytes} bytes`;
}
