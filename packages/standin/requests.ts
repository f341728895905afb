import type { IncomingMessage, ServerResponse } from "node:http";
import { HEADERS } from "#model";

/** Headers with which a test controls how a stand-in handles one request. */
export const STANDIN_HEADERS = {
  /** Crashes the server that executes the request, as a poison request does. */
  crash: "standin-crash",
  /** Service time of this request, in milliseconds. */
  serviceMs: "standin-service-ms",
  /** Status code of the response. */
  status: "standin-status",
  /** Length of the response body, in bytes; the body is then not JSON. */
  bodyBytes: "standin-body-bytes",
} as const;

/** Matches a query that crashes the server, as the header does. */
const CRASH_QUERY = /[?&]crash=1(&|$)/;

/** Upper limit of a deadline, and the default for requests without one. */
const MAX_DEADLINE_MS = 3_600_000;

/** A request with the headers that the stand-in evaluates. */
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

/** Reads a whole request; undefined if the client disconnected. */
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
    requestId: headerText(headers[HEADERS.requestId]) ?? "",
    key: headerText(headers[HEADERS.key]),
    deadlineMs: Math.min(
      headerNumber(headers[HEADERS.deadline]) ?? MAX_DEADLINE_MS,
      MAX_DEADLINE_MS,
    ),
    depth: headerNumber(headers[HEADERS.depth]),
    retries: headerNumber(headers[HEADERS.retries]),
    crash: headers[STANDIN_HEADERS.crash] === "true" || CRASH_QUERY.test(path),
    serviceMs: headerNumber(headers[STANDIN_HEADERS.serviceMs]),
    status: headerNumber(headers[STANDIN_HEADERS.status]) ?? 200,
    bodyBytes: headerNumber(headers[STANDIN_HEADERS.bodyBytes]),
    body: Buffer.concat(chunks),
  };
}

/**
 * Sends a response body that identifies its request, so that tests can detect
 * mixed-up responses; with `resetMidBody` resets the connection halfway.
 */
export async function sendBody(
  response: ServerResponse,
  options: {
    call: StandinRequest;
    server: { server: string; incarnation: number };
    resetMidBody: boolean;
  },
): Promise<void> {
  const { call, server, resetMidBody } = options;
  const body = responseBody(call, server);
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

function responseBody(
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

/** A body of the given length that repeats the request id. */
export function patternBody(requestId: string, bytes: number): Buffer {
  return Buffer.alloc(bytes, `${requestId}|`);
}

function headerText(value: string | string[] | undefined): string | undefined {
  return typeof value === "string" && value !== "" ? value : undefined;
}

function headerNumber(
  value: string | string[] | undefined,
): number | undefined {
  const parsed = Number(headerText(value) ?? Number.NaN);
  return Number.isFinite(parsed) && parsed >= 0 ? parsed : undefined;
}
