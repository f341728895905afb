/** What a server's response may take of an entry at most. */
export interface ResponseLimits {
  readonly bodyMaxBytes: number;
}

/** A bound of responses. */
export type ResponseBound =
  /** The body is longer than the limit, by its header or as received. */
  | "body_bytes"
  /** The deadline passed while the body was being forwarded. */
  | "deadline";

/** A bound that a response has exceeded. */
export interface ExceededBound {
  readonly bound: ResponseBound;
  /** Bytes that count against the bound, so far or as announced. */
  readonly bytes: number;
}

/** Decides whether one response stays within its bounds. */
export class ResponseMeter {
  readonly #limits: ResponseLimits;
  #bodyBytes = 0;

  constructor(limits: ResponseLimits) {
    this.#limits = limits;
  }

  /** To be called with the `Content-Length` of a response that has a body. */
  checkLength(header: string | undefined): ExceededBound | undefined {
    const bytes = Number(header ?? 0);
    return bytes > this.#limits.bodyMaxBytes
      ? { bound: "body_bytes", bytes }
      : undefined;
  }

  /** Counts bytes of the body. */
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
