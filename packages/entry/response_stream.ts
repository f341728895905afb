import type { ServerResponse } from "node:http";
import { afterPendingInput } from "#wire";
import type { StreamedResponse } from "./backend_response.ts";
import { breakConnection } from "./reply.ts";
import type { ExceededBound } from "./response_bounds.ts";

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
    const { stream, meter, isTruncated } = this.#from;
    const abort = () => this.#break({ type: "truncated" });
    stream.on("data", (chunk: Buffer) => {
      const excess = meter.countBody(chunk.length);
      if (excess) this.#exceed(excess);
    });
    stream.pipe(this.#to, { end: false });
    stream.once("end", () => {
      if (isTruncated()) {
        abort();
        return;
      }
      this.#to.end();
      this.#end({ type: "complete" });
    });
    stream.on("error", abort);
    stream.once("close", () => {
      if (!stream.complete) abort();
    });
    this.#to.once("close", () => stream.destroy());
  }

  /** To be called at the deadline of the request. */
  expire(): void {
    afterPendingInput(() => {
      const { meter, stream } = this.#from;
      const excess = meter.checkDeadline(stream.complete);
      if (excess) this.#exceed(excess);
    });
  }

  #exceed(excess: ExceededBound): void {
    if (this.#ended) return;
    this.#from.stream.unpipe(this.#to);
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
    this.#onEnd(end);
  }
}
