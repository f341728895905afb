import type { ServerResponse } from "node:http";
import { afterPendingInput } from "#wire";
import type { StreamedResponse } from "./backend_response.ts";
import { breakConnection } from "./reply.ts";
import { type ExceededBound, readDelayMs } from "./response_bounds.ts";

/** How the forwarding of a response ended. */
export type StreamEnd =
  | { readonly type: "complete" }
  /** The server's connection broke. */
  | { readonly type: "truncated" }
  | { readonly type: "exceeded"; readonly excess: ExceededBound };

/**
 * Forwards the body of a streamed response. If it is truncated or exceeds a
 * bound, the caller's connection is broken, so that the response does not look
 * complete.
 */
export class ResponseStream {
  readonly #from: StreamedResponse;
  readonly #to: ServerResponse;
  /** Called once; not if the caller closed its connection before the end. */
  readonly #onEnd: (end: StreamEnd) => void;
  #ended = false;
  /** Parts of the body that were read in this turn of the event loop. */
  #parts: Buffer[] = [];
  /** Delays the next read. */
  #timer: NodeJS.Timeout | undefined;

  constructor(
    from: StreamedResponse,
    to: ServerResponse,
    options: { onEnd: (end: StreamEnd) => void },
  ) {
    this.#from = from;
    this.#to = to;
    this.#onEnd = options.onEnd;
  }

  start(): void {
    const { stream, isTruncated } = this.#from;
    const abort = () => this.#break(this.#truncation());
    stream.on("data", (part: Buffer) => this.#take(part));
    stream.once("end", () => {
      if (isTruncated()) {
        abort();
        return;
      }
      this.#to.end(Buffer.concat(this.#parts));
      this.#end({ type: "complete" });
    });
    stream.on("error", abort);
    stream.once("close", () => {
      if (!stream.complete) abort();
    });
    this.#to.on("drain", () => this.#readOn());
    this.#to.once("close", () => stream.destroy());
    stream.resume();
  }

  #take(part: Buffer): void {
    const { stream, meter } = this.#from;
    const excess = meter.countBody(part.length);
    if (excess) {
      this.#exceed(excess);
      return;
    }
    this.#parts.push(part);
    if (this.#parts.length > 1) return;
    process.nextTick(() => stream.pause());
    setImmediate(() => this.#forward());
  }

  /**
   * Forwards what was read. A response gets one read and one write in each turn
   * of the event loop, so that a fast server takes no more time than others.
   */
  #forward(): void {
    if (this.#ended || this.#to.destroyed) return;
    const parts = this.#parts;
    this.#parts = [];
    const delayMs = readDelayMs(parts.length);
    if (delayMs > 0) {
      this.#timer = setTimeout(() => {
        this.#timer = undefined;
        this.#readOn();
      }, delayMs);
    }
    const [first] = parts;
    this.#to.write(parts.length === 1 ? first : Buffer.concat(parts));
    this.#readOn();
  }

  #readOn(): void {
    if (this.#timer || this.#to.writableNeedDrain) return;
    this.#from.stream.resume();
  }

  /** To be called at the deadline of the request. */
  expire(): void {
    afterPendingInput(() => {
      const { meter, stream } = this.#from;
      const excess = meter.checkDeadline(stream.complete);
      if (excess) this.#exceed(excess);
    });
  }

  /** Why the server's connection ended before the response did. */
  #truncation(): StreamEnd {
    const excess = this.#from.exceeded();
    return excess ? { type: "exceeded", excess } : { type: "truncated" };
  }

  #exceed(excess: ExceededBound): void {
    if (this.#ended) return;
    this.#break({ type: "exceeded", excess });
    this.#from.exceed(excess);
  }

  #break(end: StreamEnd): void {
    this.#end(end);
    breakConnection(this.#to);
  }

  #end(end: StreamEnd): void {
    if (this.#ended) return;
    this.#ended = true;
    clearTimeout(this.#timer);
    this.#onEnd(end);
  }
}
