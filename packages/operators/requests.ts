import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { validate as isUuid } from "uuid";
import * as z from "zod";
import { HEADERS } from "#model";
import { type OperatorError, operatorError } from "./errors.ts";

/** What a request asks for. */
export interface Target {
  readonly segments: readonly string[];
  /** True for an answer from this host alone. */
  readonly stale: boolean;
}

const BASE = "http://control";

/** Reads path and query of a request. */
export function readTarget(url: string): Result<Target, OperatorError> {
  const parsed = URL.canParse(url, BASE) ? new URL(url, BASE) : undefined;
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

/** Reads a body as UTF-8 text within a limit. */
export async function readText(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<string, OperatorError>> {
  const encoding = request.headers["content-encoding"] ?? "identity";
  if (encoding !== "identity") {
    const message = "the body must have no content encoding";
    return err(operatorError("unsupported_encoding", message));
  }
  const announced = Number(request.headers["content-length"] ?? 0);
  if (announced > maxBytes) return err(tooLarge(maxBytes));
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    bytes += (chunk as Buffer).length;
    if (bytes > maxBytes) return err(tooLarge(maxBytes));
    chunks.push(chunk as Buffer);
  }
  try {
    const decoder = new TextDecoder("utf-8", { fatal: true });
    return ok(decoder.decode(Buffer.concat(chunks)));
  } catch {
    return err(operatorError("invalid_request", "the body is not UTF-8"));
  }
}

function tooLarge(maxBytes: number): OperatorError {
  const message = `the body is longer than ${maxBytes} bytes`;
  // The rest of the body is not read, so the connection cannot be reused.
  const headers = { connection: "close" };
  return operatorError("body_too_large", message, { headers });
}

/** The revision that a change starts from. */
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

/** The id by which a re-sent change is recognised. */
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

/** The peer address in the body of a member's addition. */
export function parseAddress(
  text: string,
): Result<z.infer<typeof ADDRESS>, OperatorError> {
  const message = 'the body is not {"host": "...", "port": 1 to 65535}';
  try {
    const parsed = ADDRESS.safeParse(JSON.parse(text));
    if (parsed.success) return ok(parsed.data);
  } catch {
    // Reported below, like any other body of the wrong form.
  }
  return err(operatorError("invalid_request", message));
}
