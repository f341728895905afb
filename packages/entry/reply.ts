import type { ServerResponse } from "node:http";
import type { CallFault } from "#model";
import type { ErrorResponse } from "./call_protocol.ts";

/** Responds to a call with an error. */
export function replyFault(
  response: ServerResponse,
  fault: CallFault,
  errorResponse: ErrorResponse,
): void {
  if (response.headersSent || response.destroyed) {
    // Part of a response was sent; only a close shows that it is incomplete.
    response.destroy();
    return;
  }
  const headers: Record<string, string | number> = {
    ...errorResponse.headers,
    "content-length": Buffer.byteLength(errorResponse.body),
  };
  const isCut =
    fault.code === "request_timeout" || fault.code === "body_too_large";
  if (isCut || mayBeEndless(response)) {
    // The rest of the request will not be read.
    response.shouldKeepAlive = false;
  }
  response.writeHead(errorResponse.status, headers);
  response.end(errorResponse.body);
}

/** Whether a body goes on whose length only its end will tell. */
function mayBeEndless({ req }: ServerResponse): boolean {
  return !req.complete && req.headers["transfer-encoding"] !== undefined;
}

/**
 * Breaks a caller's connection in the middle of a response. It is reset, since
 * a normal close ends a response that has no length.
 */
export function breakConnection(response: ServerResponse): void {
  if (response.socket) response.socket.resetAndDestroy();
  response.destroy();
}

/** Responds with JSON, or without a body if there is none. */
export function replyJson(
  response: ServerResponse,
  options: { status: number; body?: unknown },
): void {
  if (options.body === undefined) {
    response.writeHead(options.status).end();
    return;
  }
  const body = JSON.stringify(options.body);
  response.writeHead(options.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  response.end(body);
}
