import type { IncomingHttpHeaders } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { HostId, Outcome } from "#model";

/**
 * Headers of calls that one entry passes on to another. They are understood
 * only on the address for handed-over calls.
 */
export const HANDOVER_HEADERS = {
  /** Name of the deployment. */
  cluster: "mangobank-handover-cluster",
  /** The entry that passes the call on, and its id of the call. */
  entry: "mangobank-handover-entry",
  call: "mangobank-handover-call",
  /** Configuration version in force at that entry. */
  version: "mangobank-handover-version",
  /** In a response: why the call was not taken on; it has not run then. */
  refused: "mangobank-handover-refused",
  /** In a response: the outcome of the call. */
  outcome: "mangobank-handover-outcome",
} as const;

/** All of them; none is forwarded to servers or callers. */
export const HANDOVER_HEADER_NAMES: ReadonlySet<string> = new Set(
  Object.values(HANDOVER_HEADERS),
);

/** Where a handed-over call comes from. */
export interface HandoverOrigin {
  readonly entry: HostId;
  readonly call: string;
  readonly version: number;
}

/** Why an entry does not take a handed-over call on. */
export type HandoverRefusal =
  /** It reaches no server of the service either. */
  | "cut_off"
  /** It runs as many handed-over calls as it may. */
  | "busy"
  | "stopping"
  /** Its configuration is older than that of the entry that asks. */
  | "older_configuration"
  | "not_ready";

/** A request on the address for handed-over calls that is none. */
export interface HandoverFault {
  readonly type: "handover_malformed";
  readonly detail: string;
}

/** Parses the headers of a handed-over call. */
export function parseHandoverOrigin(
  headers: IncomingHttpHeaders,
  cluster: string,
): Result<HandoverOrigin, HandoverFault> {
  const named = headers[HANDOVER_HEADERS.cluster];
  if (named !== cluster) {
    return malformed(`cluster is ${clipped(named)}, expected ${cluster}`);
  }
  const entry = headers[HANDOVER_HEADERS.entry];
  const call = headers[HANDOVER_HEADERS.call];
  if (typeof entry !== "string" || typeof call !== "string") {
    return malformed("the entry or the call is not named");
  }
  const text = headers[HANDOVER_HEADERS.version];
  if (typeof text !== "string" || !/^\d{1,15}$/.test(text)) {
    return malformed(`version is ${clipped(text)}, expected an integer`);
  }
  return ok({ entry, call, version: Number(text) });
}

/** The outcome that the response to a handed-over call states. */
export function parseHandoverOutcome(headers: IncomingHttpHeaders): Outcome {
  const outcome = headers[HANDOVER_HEADERS.outcome];
  return outcome === "answered" || outcome === "not-run" ? outcome : "unknown";
}

/** The name of the first header that only entries may send, if there is one. */
export function reservedHeader(
  headers: IncomingHttpHeaders,
): string | undefined {
  return Object.values(HANDOVER_HEADERS).find(
    (name) => headers[name] !== undefined,
  );
}

function malformed(detail: string): Result<never, HandoverFault> {
  return err({ type: "handover_malformed", detail });
}

function clipped(value: string | string[] | undefined): string {
  return value === undefined ? "missing" : `"${String(value).slice(0, 64)}"`;
}
