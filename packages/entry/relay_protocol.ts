import type { IncomingHttpHeaders } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { HostId, Outcome } from "#model";

/**
 * Headers of calls that one entry passes on to another. They are understood
 * only on the address for relayed calls.
 */
export const RELAY_HEADERS = {
  /** Name of the deployment. */
  cluster: "mangobank-relay-cluster",
  /** The entry that passes the call on, and its id of the call. */
  entry: "mangobank-relay-entry",
  call: "mangobank-relay-call",
  /** Configuration version in force at that entry. */
  version: "mangobank-relay-version",
  /** In a response: why the call was not taken on; it has not run then. */
  refused: "mangobank-relay-refused",
  /** In a response: the outcome of the call. */
  outcome: "mangobank-relay-outcome",
} as const;

/** All of them; none is forwarded to servers or callers. */
export const RELAY_HEADER_NAMES: ReadonlySet<string> = new Set(
  Object.values(RELAY_HEADERS),
);

/** Where a relayed call comes from. */
export interface RelayOrigin {
  readonly entry: HostId;
  readonly call: string;
  readonly version: number;
}

/** Why an entry does not take a relayed call on. */
export type RelayRefusal =
  /** It reaches no server of the service either. */
  | "cut_off"
  /** It runs as many relayed calls as it may. */
  | "busy"
  | "stopping"
  /** Its configuration is older than that of the entry that asks. */
  | "older_configuration"
  | "not_ready";

/** A request on the address for relayed calls that is none. */
export interface RelayFault {
  readonly type: "relay_malformed";
  readonly detail: string;
}

/** Parses the headers of a relayed call. */
export function parseRelayOrigin(
  headers: IncomingHttpHeaders,
  cluster: string,
): Result<RelayOrigin, RelayFault> {
  const named = headers[RELAY_HEADERS.cluster];
  if (named !== cluster) {
    return malformed(`cluster is ${clipped(named)}, expected ${cluster}`);
  }
  const entry = headers[RELAY_HEADERS.entry];
  const call = headers[RELAY_HEADERS.call];
  if (typeof entry !== "string" || typeof call !== "string") {
    return malformed("the entry or the call is not named");
  }
  const text = headers[RELAY_HEADERS.version];
  if (typeof text !== "string" || !/^\d{1,15}$/.test(text)) {
    return malformed(`version is ${clipped(text)}, expected an integer`);
  }
  return ok({ entry, call, version: Number(text) });
}

/** The outcome that the response to a relayed call states. */
export function parseRelayOutcome(headers: IncomingHttpHeaders): Outcome {
  const outcome = headers[RELAY_HEADERS.outcome];
  return outcome === "answered" || outcome === "not-run" ? outcome : "unknown";
}

/** The name of the first header that only entries may send, if there is one. */
export function reservedHeader(
  headers: IncomingHttpHeaders,
): string | undefined {
  return Object.values(RELAY_HEADERS).find(
    (name) => headers[name] !== undefined,
  );
}

function malformed(detail: string): Result<never, RelayFault> {
  return err({ type: "relay_malformed", detail });
}

function clipped(value: string | string[] | undefined): string {
  return value === undefined ? "missing" : `"${String(value).slice(0, 64)}"`;
}
