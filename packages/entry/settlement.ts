import type { Settlement } from "#claims";
import type { CallAttemptsResult } from "./call_attempts.ts";
import { SERVER_ONLY_HEADERS } from "./call_protocol.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";

/** What the claim on a call's idempotency key keeps of its result. */
export function settlementOf(result: CallAttemptsResult): Settlement {
  if (result.type === "fault") {
    const notRun = result.fault.outcome === "not-run";
    return { type: notRun ? "not_started" : "ran" };
  }
  const { status, rawHeaders, body } = result.response;
  // A streamed response is too long to be stored.
  if (!body) return { type: "ran" };
  const keptHeaders = endToEndHeaders(rawHeaders, SERVER_ONLY_HEADERS);
  const headers: [string, string][] = [];
  for (let i = 0; i < keptHeaders.length; i += 2) {
    headers.push([keptHeaders[i] ?? "", keptHeaders[i + 1] ?? ""]);
  }
  return { type: "ran", answer: { status, headers, body } };
}
