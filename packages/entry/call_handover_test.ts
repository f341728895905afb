import assert from "node:assert/strict";
import { test } from "node:test";
import { type CallFault, callFault } from "#model";
import type { CallAttempts } from "./call_attempts.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { CallHandover, type HandoverInput } from "./call_handover.ts";

const INPUT = {
  call: { service: "alloc", repeatable: true },
  body: { rest: undefined },
} as unknown as HandoverInput;
const OPTIONS = {
  policies: { budget: () => ({ tryTake: () => true }) },
} as unknown as CallEnvironment;

function isDueAfter(fault: CallFault, isGivenUp: boolean): boolean {
  const handover = new CallHandover(OPTIONS, { isHandedOver: false });
  const attempts = { isCutOff: true, isGivenUp } as unknown as CallAttempts;
  return handover.isDueAfter(
    { type: "fault", fault },
    { input: INPUT, attempts },
  );
}

test("a call that did not run is passed on", () => {
  assert.equal(isDueAfter(callFault("no_server"), false), true);
});

test("a call that got no answer is passed on", () => {
  assert.equal(isDueAfter(callFault("server_failed"), true), true);
});

// Guards against a crash request that goes on to the servers of other entries.
test("a call whose connection broke is not passed on", () => {
  assert.equal(isDueAfter(callFault("server_failed"), false), false);
});
