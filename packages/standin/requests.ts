import type { IncomingMessage, ServerResponse } from "node:http";
import { HEADERS } from "#model";

/** Headers with which a test tells a stand-in what to do with one request. */
export const STANDIN_HEADERS = {
  /** Crashes the server that runs it, as a poison request does. */
  crash: "standin-crash",
  /** Service time of this request, in milliseconds. */
  serviceMs: "standin-service-ms",
  /** Status of the answer. */
  status: "standin-status",
  /** Length of the answer's body; the body is then not JSON. */
  bodyBytes: "standin-body-bytes",
} as const;

/** A query with this parameter crashes the server, as the header does. */
const CRASH_QUERY = /[?&]crash=1(&|$)/;

/** Used where a request names no deadline. */
const LONGEST_MS = 3_600_000;

/** A request as the stand-in serves it. */
export interface StandinRequest {
  readonly method: string;
  readonly path: string;
  readonly requestId: string;
  readonly key: string | undefined;
  readonly deadlineMs: number;
  readonly depth: number | undefined;
  readonly retries: number | undefined;
  readonly crash: boolean;
  readonly serviceMs: number | undefined;
  readonly status: number;
  readonly bodyBytes: number | undefined;
  readonly body: Buffer;
}

/** Reads a whole request; nothing if its sender went away. */
export async function readRequest(
  request: IncomingMessage,
): Promise<StandinRequest | undefined> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of request) chunks.push(chunk);
  } catch {
    return undefined;
  }
  const path = request.url ?? "/";
  const { headers } = request;
  return {
    method: request.method ?? "GET",
    path,
    requestId: text(headers[HEADERS.requestId]) ?? "",
    key: text(headers[HEADERS.key]),
    deadlineMs: Math.min(
      number(headers[HEADERS.deadline]) ?? LONGEST_MS,
      LONGEST_MS,
    ),
    depth: number(headers[HEADERS.depth]),
    retries: number(headers[HEADERS.retries]),
    crash: headers[STANDIN_HEADERS.crash] === "true" || CRASH_QUERY.test(path),
    serviceMs: number(headers[STANDIN_HEADERS.serviceMs]),
    status: number(headers[STANDIN_HEADERS.status]) ?? 200,
    bodyBytes: number(headers[STANDIN_HEADERS.bodyBytes]),
    body: Buffer.concat(chunks),
  };
}

/** Sends an answer that shows which request it belongs to. */
export async function sendBody(
  response: ServerResponse,
  options: {
    call: StandinRequest;
    server: { server: string; incarnation: number };
    resetMidBody: boolean;
  },
): Promise<void> {
  const { call, server, resetMidBody } = options;
  const body = answerBody(call, server);
  response.setHeader("content-length", body.length);
  if (!resetMidBody) {
    await new Promise<void>((resolve) => {
      response.once("close", resolve);
      response.end(body, resolve);
    });
    return;
  }
  const half = body.subarray(0, Math.floor(body.length / 2));
  await new Promise((resolve) => response.write(half, resolve));
  response.socket?.resetAndDestroy();
}

function answerBody(
  call: StandinRequest,
  server: { server: string; incarnation: number },
): Buffer {
  const { bodyBytes } = call;
  if (bodyBytes !== undefined) return patternBody(call.requestId, bodyBytes);
  const { requestId, key, method, path, depth, retries } = call;
  const echo = call.body.toString("utf8");
  const request = { request_id: requestId, key, method, path, depth, retries };
  return Buffer.from(JSON.stringify({ ...server, ...request, echo }));
}

/** A body of any length that only this request id has. */
export function patternBody(requestId: string, bytes: number): Buffer {
  return Buffer.alloc(bytes, `${requestId}|`);
}

function text(value: string | string[] | undefined): string | undefined {
  return typeof value === "string" && value !== "" ? value : undefined;
}

function number(value: string | string[] | undefined): number | undefined {
  const parsed = Number(text(value) ?? Number.NaN);
  return Number.isFinite(parsed) && parsed >= 0 ? parsed : undefined;
}
