import assert from "node:assert/strict";
import { test } from "node:test";
import { CALL_FAULTS, type CallFaultCode, callFault } from "#model";
import { finalFault } from "./final_fault.ts";

const CODES = Object.keys(CALL_FAULTS) as CallFaultCode[];
const EARLIER_RUN = { detail: "connection closed" };
/** Codes that may come with an unknown outcome. */
const UNKNOWN_CODES: readonly CallFaultCode[] = [
  "already_running",
  "already_run",
  "server_failed",
  "deadline_expired",
  "quarantined",
];

// Guards against answers such as "queue_full" with the outcome unknown, which
// callers take for a request that was not run.
test("an outcome and a code never contradict each other after a retry", () => {
  for (const code of CODES) {
    const refusal = callFault(code, { retryAfterMs: 250, detail: "full" });
    const fault = finalFault(refusal, EARLIER_RUN);
    assert.equal(fault.outcome, "unknown", code);
    assert.ok(UNKNOWN_CODES.includes(fault.code), `${code}: ${fault.code}`);
    if (UNKNOWN_CODES.includes(code)) continue;
    assert.equal(fault.retryAfterMs, 250, code);
    assert.match(fault.detail ?? "", /^connection closed; retry refused: /);
    assert.ok(fault.detail?.endsWith(code));
  }
});

// Guards against callers that send a request again which has crashed servers,
// because the refusal of its retry was told as the failure of one server.
test("a request that its own attempts put in quarantine is told so", () => {
  const refusal = callFault("quarantined", { outcome: "unknown" });
  const fault = finalFault(refusal, EARLIER_RUN);
  assert.equal(fault.code, "quarantined");
  assert.equal(fault.outcome, "unknown");
});

test("a fault stands as it is if no attempt may have run", () => {
  for (const code of CODES) {
    const fault = callFault(code, { outcome: "not-run", retryAfterMs: 250 });
    assert.equal(finalFault(fault, undefined), fault);
  }
});
