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
  if (fault.code === "request_timeout" || fault.code === "body_too_large") {
    // The rest of the request will not be read.
    response.shouldKeepAlive = false;
  }
  response.writeHead(errorResponse.status, headers);
  response.end(errorResponse.body);
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

/** Headers of a single connection, which are not forwarded (RFC 9110). */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/**
 * Filters headers in the form of Node's `rawHeaders`: removes those in
 * `dropped` and those that must not be forwarded by a proxy.
 */
export function endToEndHeaders(
  raw: readonly string[],
  dropped: ReadonlySet<string>,
): string[] {
  const kept: string[] = [];
  let connectionHeaders: Set<string> | undefined;
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i] ?? "";
    const value = raw[i + 1] ?? "";
    const lower = name.toLowerCase();
    if (lower === "connection" && !CONNECTION_OPTIONS.has(value)) {
      connectionHeaders = connectionTokens(value, connectionHeaders);
    }
    if (HOP_BY_HOP_HEADERS.has(lower) || dropped.has(lower)) continue;
    kept.push(name, value);
  }
  return connectionHeaders ? withoutHeaders(kept, connectionHeaders) : kept;
}

/** Values of the header `Connection` that name no other header. */
const CONNECTION_OPTIONS: ReadonlySet<string> = new Set([
  "keep-alive",
  "close",
]);

function connectionTokens(value: string, known = new Set<string>()) {
  for (const token of value.split(",")) known.add(token.trim().toLowerCase());
  return known;
}

function withoutHeaders(
  headers: readonly string[],
  names: ReadonlySet<string>,
): string[] {
  return headers.filter(
    (_, i) => !names.has(headers[i - (i % 2)]?.toLowerCase() ?? ""),
  );
}
