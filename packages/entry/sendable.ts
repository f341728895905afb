import type { IncomingMessage } from "node:http";
import { type HeaderFault, headerFault } from "#model";

/** Characters of a header's name (RFC 9110). */
const HEADER_NAME = /^[\w!#$%&'*+.^`|~-]+$/;

/** Characters of a path that can be requested. */
const PATH = /^[\x21-\xff]*$/;

/**
 * What keeps a caller's request from being sent on: Node's parser reads a path with
 * a tab or a form feed and a header name that is empty or has a space, and throws on
 * one that it is to write. Undefined if it can be sent.
 */
export function unsendablePart({
  url = "/",
  rawHeaders,
}: Pick<IncomingMessage, "url" | "rawHeaders">): string | undefined {
  if (!PATH.test(url)) return "the path has characters that need escaping";
  if (unsendableName(rawHeaders) === undefined) return undefined;
  return "a header has a malformed name";
}

/**
 * The headers of a response, in the form of Node's `rawHeaders`, that can be sent
 * on. Node's parser reads a name that is empty or has a space in it, and throws on
 * one that it is to write.
 */
export function sendableHeaders(
  raw: readonly string[],
  onMalformed: (fault: HeaderFault) => void,
): readonly string[] {
  if (unsendableName(raw) === undefined) return raw;
  return raw.filter((text, i) => {
    const name = raw[i - (i % 2)] ?? "";
    if (HEADER_NAME.test(name)) return true;
    if (i % 2 === 0) onMalformed(headerFault("header name", text));
    return false;
  });
}

/** The first name of a header that cannot be sent; undefined if all can. */
function unsendableName(raw: readonly string[]): string | undefined {
  for (let i = 0; i < raw.length; i += 2) {
    if (!HEADER_NAME.test(raw[i] ?? "")) return raw[i];
  }
  return undefined;
}
