import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import type { ResponseReport } from "./call_protocol.ts";

/**
 * Responses up to this size are buffered and checked for completeness before
 * they are forwarded; longer ones are streamed.
 */
export const MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024;

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
}

interface StreamedResponse extends ResponseHead {
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
  | { readonly type: "answer_cut"; readonly detail: string };

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
): Promise<RequestResult> {
  const isTruncated = detectTruncation(incoming);
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      length += chunk.length;
      if (length <= MAX_BUFFERED_RESPONSE_BYTES) return;
      incoming.pause();
      incoming.off("data", onData);
      incoming.off("end", onEnd);
      incoming.unshift(Buffer.concat(chunks));
      const response = { ...head, stream: incoming, isTruncated };
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
    incoming.once("close", () => failTruncated("connection closed"));
  });
}
