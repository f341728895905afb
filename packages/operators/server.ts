import type { Duplex } from "node:stream";
import { type HttpFailure, type HttpHandler, HttpServer } from "#wire";
import { OPERATOR_ERRORS, type OperatorErrorCode } from "./errors.ts";

/** Limits of the operators' HTTP server. */
export interface OperatorServerLimits {
  readonly headerMaxBytes: number;
  readonly requestTimeoutMs: number;
  readonly connectionsMax: number;
  /** Called for a request whose handling threw or rejected. */
  readonly onFailure?: (failure: HttpFailure) => void;
}

/** Interval at which Node checks for requests that exceeded their timeout. */
const TIMEOUT_CHECK_INTERVAL_MS = 250;

/** Creates the HTTP server of a control host; the caller listens and closes. */
export function createOperatorServer(
  handle: HttpHandler,
  limits: OperatorServerLimits,
): HttpServer {
  const options = {
    maxHeaderSize: limits.headerMaxBytes,
    headersTimeout: limits.requestTimeoutMs,
    requestTimeout: limits.requestTimeoutMs,
    connectionsCheckingInterval: Math.min(
      TIMEOUT_CHECK_INTERVAL_MS,
      limits.requestTimeoutMs,
    ),
    connectionsMax: limits.connectionsMax,
    isUnusedUntilRead: () => true,
    ...(limits.onFailure && { onFailure: limits.onFailure }),
  };
  const server = new HttpServer(options, handle);
  server.onMalformed((error, socket) => {
    sendClientError(
      socket,
      CLIENT_ERROR_CODES[error.code ?? ""] ?? "invalid_request",
    );
  });
  return server;
}

const CLIENT_ERROR_CODES: Readonly<Record<string, OperatorErrorCode>> = {
  HPE_HEADER_OVERFLOW: "header_too_large",
  ERR_HTTP_REQUEST_TIMEOUT: "request_timeout",
};

/** Sends an error response on a connection whose request Node rejected. */
function sendClientError(socket: Duplex, code: OperatorErrorCode): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const message = "the request is malformed, too long or too slow";
  const body = `${JSON.stringify({ error: { code, message } })}\n`;
  socket.end(
    [
      `HTTP/1.1 ${OPERATOR_ERRORS[code]} ${code}`,
      "content-type: application/json; charset=utf-8",
      `content-length: ${Buffer.byteLength(body)}`,
      `mangobank-error: ${code}`,
      "connection: close",
      "",
      body,
    ].join("\r\n"),
  );
}
