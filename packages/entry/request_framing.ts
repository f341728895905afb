import type { RequestBody } from "./request_body.ts";

/** Headers that tell where a message ends. */
const FRAMING_HEADERS: ReadonlySet<string> = new Set([
  "content-length",
  "transfer-encoding",
]);

/** Methods whose requests usually have no body (RFC 9110). */
const METHODS_WITHOUT_BODY: ReadonlySet<string> = new Set([
  "GET",
  "HEAD",
  "DELETE",
  "OPTIONS",
  "TRACE",
]);

/**
 * The headers of a request with the one that frames its body. They are made from
 * the body that is sent, whatever the headers say: with another method than POST,
 * PUT or PATCH, Node writes a body without any framing if they name none, and its
 * server would take the body for the next request.
 */
export function framedHeaders(
  method: string,
  headers: readonly string[],
  { length }: Pick<RequestBody, "length">,
): string[] {
  const isLengthNamed = headers.some(
    (name, i) => i % 2 === 0 && name.toLowerCase() === "content-length",
  );
  const kept = headers.filter(
    (_, i) => !FRAMING_HEADERS.has(headers[i - (i % 2)]?.toLowerCase() ?? ""),
  );
  if (length === undefined) return [...kept, "transfer-encoding", "chunked"];
  if (length === 0 && !isLengthNamed && METHODS_WITHOUT_BODY.has(method)) {
    return kept;
  }
  return [...kept, "content-length", String(length)];
}
