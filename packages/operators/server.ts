import { createServer, type RequestListener, type Server } from "node:http";
import type { Duplex } from "node:stream";
import { OPERATOR_ERRORS, type OperatorErrorCode } from "./errors.ts";

/** Limits of the operators' HTTP server. */
export interface OperatorServerLimits {
  readonly headerMaxBytes: number;
  readonly requestTimeoutMs: number;
  readonly connectionsMax: number;
}

/** How often Node looks for requests that are past their time. */
const TIMEOUT_CHECK_MS = 250;

/** Makes the HTTP server of a control host; the caller listens and closes. */
export function createOperatorServer(
  handle: RequestListener,
  limits: OperatorServerLimits,
): Server {
  const options = {
    maxHeaderSize: limits.headerMaxBytes,
    headersTimeout: limits.requestTimeoutMs,
    requestTimeout: limits.requestTimeoutMs,
    connectionsCheckingInterval: Math.min(
      TIMEOUT_CHECK_MS,
      limits.requestTimeoutMs,
    ),
  };
  const server = createServer(options, handle);
  server.maxConnections = limits.connectionsMax;
  server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
    refuse(socket, CLIENT_ERRORS[error.code ?? ""] ?? "invalid_request");
  });
  return server;
}

const CLIENT_ERRORS: Readonly<Record<string, OperatorErrorCode>> = {
  HPE_HEADER_OVERFLOW: "header_too_large",
  ERR_HTTP_REQUEST_TIMEOUT: "request_timeout",
};

/** Answers on a connection whose request Node could not parse. */
function refuse(socket: Duplex, code: OperatorErrorCode): void {
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
