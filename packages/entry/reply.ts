import type { ServerResponse } from "node:http";
import type { CallFault } from "#model";
import type { FaultAnswer } from "./call_protocol.ts";

/** Answers a call with a typed fault. */
export function replyFault(
  response: ServerResponse,
  fault: CallFault,
  answer: FaultAnswer,
): void {
  if (response.headersSent || response.destroyed) {
    // Part of an answer is out: closing is the only way to say it is not whole.
    response.destroy();
    return;
  }
  const headers: Record<string, string | number> = {
    ...answer.headers,
    "content-length": Buffer.byteLength(answer.body),
  };
  if (fault.code === "request_timeout" || fault.code === "body_too_large") {
    // The rest of the request will not be read.
    headers.connection = "close";
  }
  response.writeHead(answer.status, headers);
  response.end(answer.body);
}

/** Answers one of mangobank's own paths with JSON. */
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

/** Headers that belong to one connection and are not passed on (RFC 9110). */
const HOP_BY_HOP = new Set([
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

/** Raw headers that may be passed on, as Node's flat list of pairs. */
export function endToEndHeaders(
  raw: readonly string[],
  dropped: ReadonlySet<string>,
): string[] {
  const kept: string[] = [];
  let named: Set<string> | undefined;
  for (let i = 0; i < raw.length; i += 2) {
    const name = raw[i] ?? "";
    const value = raw[i + 1] ?? "";
    const lower = name.toLowerCase();
    if (lower === "connection" && !PLAIN_CONNECTION.has(value)) {
      named = connectionTokens(value, named);
    }
    if (HOP_BY_HOP.has(lower) || dropped.has(lower)) continue;
    kept.push(name, value);
  }
  return named ? withoutNames(kept, named) : kept;
}

/** Values of `Connection` that name no further header. */
const PLAIN_CONNECTION: ReadonlySet<string> = new Set(["keep-alive", "close"]);

function connectionTokens(value: string, known = new Set<string>()) {
  for (const token of value.split(",")) known.add(token.trim().toLowerCase());
  return known;
}

function withoutNames(
  headers: readonly string[],
  names: ReadonlySet<string>,
): string[] {
  return headers.filter(
    (_, i) => !names.has(headers[i - (i % 2)]?.toLowerCase() ?? ""),
  );
}
