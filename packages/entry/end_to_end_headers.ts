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
