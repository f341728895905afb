import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { validate as isUuid } from "uuid";
import * as z from "zod";
import { HEADERS } from "#model";
import { type OperatorError, operatorError } from "./errors.ts";

/** The parsed path and query of a request. */
export interface RequestTarget {
  readonly segments: readonly string[];
  /** Whether this host may respond without confirmation by a quorum. */
  readonly stale: boolean;
}

/** Any base URL, as request paths are relative. */
const BASE_URL = "http://control";

/** Parses the path and query of a request. */
export function readTarget(url: string): Result<RequestTarget, OperatorError> {
  const parsed = URL.canParse(url, BASE_URL)
    ? new URL(url, BASE_URL)
    : undefined;
  if (parsed === undefined || !url.startsWith("/")) {
    return err(operatorError("invalid_request", "the path is malformed"));
  }
  for (const [key, value] of parsed.searchParams) {
    if (key === "stale" && (value === "true" || value === "false")) continue;
    const message = `unknown parameter ${JSON.stringify(key)}; only stale=true or stale=false is known`;
    return err(operatorError("invalid_request", message));
  }
  try {
    const path = parsed.pathname.split("/").slice(1).map(decodeURIComponent);
    const stale = parsed.searchParams.get("stale") === "true";
    return ok({ segments: path, stale });
  } catch {
    return err(operatorError("invalid_request", "the path is malformed"));
  }
}

/** Reads a request body of limited size as UTF-8 text. */
export async function readText(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<string, OperatorError>> {
  const encoding = request.headers["content-encoding"] ?? "identity";
  if (encoding !== "identity") {
    const message = "the body must have no content encoding";
    return err(operatorError("unsupported_encoding", message));
  }
  const contentLength = Number(request.headers["content-length"] ?? 0);
  if (contentLength > maxBytes) return err(bodyTooLarge(maxBytes));
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    bytes += (chunk as Buffer).length;
    if (bytes > maxBytes) return err(bodyTooLarge(maxBytes));
    chunks.push(chunk as Buffer);
  }
  try {
    const decoder = new TextDecoder("utf-8", { fatal: true });
    return ok(decoder.decode(Buffer.concat(chunks)));
  } catch {
    return err(operatorError("invalid_request", "the body is not UTF-8"));
  }
}

function bodyTooLarge(maxBytes: number): OperatorError {
  const message = `the body is longer than ${maxBytes} bytes`;
  // As the rest of the body is not read, the connection cannot be reused.
  const headers = { connection: "close" };
  return operatorError("body_too_large", message, { headers });
}

/** Reads the revision that a change is based on. */
export function readRevision(
  request: IncomingMessage,
): Result<number, OperatorError> {
  const header = request.headers["if-match"];
  if (header === undefined) {
    const message =
      "the header If-Match with the section's revision is missing (0 for a new section)";
    return err(operatorError("revision_required", message));
  }
  const digits = /^(?:(\d{1,15})|"(\d{1,15})")$/.exec(header);
  if (digits !== null) return ok(Number(digits[1] ?? digits[2]));
  const message = "the header If-Match is not a revision";
  return err(operatorError("invalid_request", message));
}

/** Reads the id that identifies a change when it is sent again. */
export function readChangeId(
  request: IncomingMessage,
): Result<string, OperatorError> {
  const header = request.headers[HEADERS.changeId];
  if (typeof header === "string" && isUuid(header)) {
    return ok(header.toLowerCase());
  }
  const message = "the header Mangobank-Change-Id is not a UUID";
  return err(operatorError("invalid_request", message));
}

const ADDRESS = z.strictObject({
  host: z.string().min(1).max(253),
  port: z.int().min(1).max(65_535),
});

/** Parses the peer address in the body of a request that adds a member. */
export function parsePeerAddress(
  text: string,
): Result<z.infer<typeof ADDRESS>, OperatorError> {
  const message = 'the body is not {"host": "...", "port": 1 to 65535}';
  try {
    const parsed = ADDRESS.safeParse(JSON.parse(text));
    if (parsed.success) return ok(parsed.data);
  } catch {
    // Not JSON; reported below like any other invalid body.
  }
  return err(operatorError("invalid_request", message));
}
