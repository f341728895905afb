import type { IncomingMessage, ServerResponse } from "node:http";

/** Longest request target in a failure, in characters. */
const MAX_TARGET_LENGTH = 200;

/** A request that got no answer of its handler, which threw or rejected. */
export interface HttpFailure {
  /** Names the failure in the answer and in the log. */
  readonly id: string;
  readonly method: string;
  /** The request target, clipped. */
  readonly target: string;
  readonly error: unknown;
}

/** Describes an exception of the handler of a request. */
export function httpFailure(
  id: string,
  { method = "", url = "" }: IncomingMessage,
  error: unknown,
): HttpFailure {
  return { id, method, target: url.slice(0, MAX_TARGET_LENGTH), error };
}

/**
 * Answers 500 with the failure's id. If a part of the answer was written, only
 * a close shows that it is incomplete.
 */
export function answerFailure(response: ServerResponse, id: string): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  // They belong to the answer that failed, and one may be why it did.
  for (const name of response.getHeaderNames()) response.removeHeader(name);
  const body = JSON.stringify({ error: "internal_error", id });
  response.req.resume();
  response.writeHead(500, "Internal Server Error", {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}
