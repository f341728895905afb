import type { HeaderFault } from "#model";

/** Characters of a header's name (RFC 9110). */
const HEADER_NAME = /^[\w!#$%&'*+.^`|~-]+$/;
const MAX_LOGGED_LENGTH = 40;

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
    if (i % 2 === 0) onMalformed({ ...FAULT, text: clipped(text) });
    return false;
  });
}

const FAULT = { type: "malformed_header", name: "header name" } as const;

/** The first name of a header that cannot be sent; undefined if all can. */
function unsendableName(raw: readonly string[]): string | undefined {
  for (let i = 0; i < raw.length; i += 2) {
    if (!HEADER_NAME.test(raw[i] ?? "")) return raw[i];
  }
  return undefined;
}

function clipped(text: string): string {
  return text.slice(0, MAX_LOGGED_LENGTH);
}
