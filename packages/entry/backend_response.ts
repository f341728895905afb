import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import type { ResponseReport } from "./call_protocol.ts";
import { ReadPacer } from "./read_pacer.ts";
import {
  describeExceededBound,
  type ExceededBound,
  type ResponseMeter,
} from "./response_bounds.ts";

/**
 * Responses up to this size are buffered and checked for completeness before
 * they are forwarded; longer ones are streamed.
 */
export const MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024;

/** Chunks to hold at most; each takes far more memory than a few bytes. */
const MAX_CHUNKS = 1_024;

/** A server's response: buffered if it is short, else a stream. */
export type BackendResponse = BufferedResponse | StreamedResponse;

/** A response without its body. */
export interface ResponseHead
  extends Omit<ResponseReport, "rateLimit" | "backOffMs"> {
  /** As in `ResponseReport`; undefined also if it cannot be read. */
  readonly rateLimit: number | undefined;
  readonly backOffMs: number | undefined;
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly rawHeaders: readonly string[];
}

interface BufferedResponse extends ResponseHead {
  readonly body: Buffer;
  readonly stream?: undefined;
  readonly exceeded?: undefined;
}

/** The bounds of a response, while it is forwarded. */
interface ResponseBounds {
  readonly meter: ResponseMeter;
  /** The bound that the response has exceeded. */
  readonly exceeded: () => ExceededBound | undefined;
  /** Closes the connection to the server, since a bound was exceeded. */
  readonly exceed: (excess: ExceededBound) => void;
}

export interface StreamedResponse extends ResponseHead, ResponseBounds {
  readonly body?: undefined;
  readonly stream: IncomingMessage;
  /**
   * Whether the response ended prematurely; valid once the stream has ended.
   */
  readonly isTruncated: () => boolean;
}

/**
 * Why a request got no complete response. Only `not_connected` proves that the
 * server did not execute it.
 */
export type RequestFailure =
  | { readonly type: "not_connected"; readonly detail: string }
  | { readonly type: "connection_lost"; readonly detail: string }
  | { readonly type: "answer_cut"; readonly detail: string }
  | {
      readonly type: "bound_exceeded";
      readonly excess: ExceededBound;
      readonly detail: string;
    };

/** The failure of a request whose response exceeded a bound. */
export function boundFailure(excess: ExceededBound): RequestFailure {
  const detail = describeExceededBound(excess);
  return { type: "bound_exceeded", excess, detail };
}

/** The result of one request to a backend server. */
export type RequestResult =
  | { readonly type: "answer"; readonly response: BackendResponse }
  | { readonly type: "fault"; readonly fault: RequestFailure };

/**
 * Returns a check, to be called at the end of the response, whether it was
 * truncated. For a response that is delimited by the close of its connection,
 * Node reports a reset that arrives together with the last bytes as a normal
 * end. A connection that was reset has no remote address any more, but Node
 * caches the address at its first use, so it must not be read before the end.
 */
function detectTruncation(incoming: IncomingMessage): () => boolean {
  const { headers, socket } = incoming;
  const framed =
    headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
  if (framed) return () => !incoming.complete;
  let wasReset = false;
  socket.prependOnceListener("end", () => {
    wasReset = socket.remoteAddress === undefined;
  });
  socket.prependOnceListener("error", () => {
    wasReset = true;
  });
  return () => wasReset || !incoming.complete;
}

/** Buffers the body of a short response; resolves early with a stream else. */
export function collectResponse(
  incoming: IncomingMessage,
  head: ResponseHead,
  bounds: ResponseBounds,
): Promise<RequestResult> {
  const isTruncated = detectTruncation(incoming);
  return new Promise((resolve) => {
    let chunks: Buffer[] = [];
    let length = 0;
    const pacer = new ReadPacer(incoming);
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      length += chunk.length;
      pacer.countPart();
      if (chunks.length >= MAX_CHUNKS) chunks = [Buffer.concat(chunks)];
      if (length <= MAX_BUFFERED_RESPONSE_BYTES) return;
      pacer.stop();
      incoming.pause();
      incoming.off("data", onData);
      incoming.off("end", onEnd);
      incoming.unshift(Buffer.concat(chunks));
      const response = { ...head, stream: incoming, isTruncated, ...bounds };
      resolve({ type: "answer", response });
    };
    const failTruncated = (detail: string) => {
      resolve({ type: "fault", fault: { type: "answer_cut", detail } });
    };
    const onEnd = () => {
      if (isTruncated()) {
        failTruncated("the connection was reset");
        return;
      }
      const response = { ...head, body: Buffer.concat(chunks) };
      resolve({ type: "answer", response });
    };
    incoming.on("data", onData);
    incoming.once("end", onEnd);
    incoming.once("error", (error) => failTruncated(error.message));
    incoming.once("close", () => {
      pacer.stop();
      failTruncated("connection closed");
    });
  });
}
