import assert from "node:assert/strict";
import { test } from "node:test";
import {
  MAX_FRAMING_BYTES,
  MAX_INFORMATIONAL_BYTES,
  MAX_INFORMATIONAL_RESPONSES,
  ResponseMeter,
  readDelayMs,
  UNDELAYED_PARTS,
} from "./response_bounds.ts";

const LIMITS = { bodyMaxBytes: 100 };

test("a body may be as long as the limit and no longer", () => {
  const meter = new ResponseMeter(LIMITS);
  assert.equal(meter.countBody(60), undefined);
  assert.equal(meter.countBody(40), undefined);
  assert.deepEqual(meter.countBody(1), { bound: "body_bytes", bytes: 101 });
});

test("an announced length is checked before any byte of the body", () => {
  const meter = new ResponseMeter(LIMITS);
  assert.equal(meter.checkLength(undefined), undefined);
  assert.equal(meter.checkLength("100"), undefined);
  const excess = { bound: "body_bytes", bytes: 101 };
  assert.deepEqual(meter.checkLength("101"), excess);
});

// Guards against answers that are withheld although they are ready.
test("the deadline ends only a response that has not been received", () => {
  const meter = new ResponseMeter(LIMITS);
  meter.countBody(7);
  assert.equal(meter.checkDeadline(true), undefined);
  const excess = { bound: "deadline", bytes: 7 };
  assert.deepEqual(meter.checkDeadline(false), excess);
});

test("informational responses are bounded in number", () => {
  const meter = new ResponseMeter(LIMITS);
  for (let i = 0; i < MAX_INFORMATIONAL_RESPONSES; i++) {
    assert.equal(meter.countInformational(10), undefined);
  }
  const bytes = (MAX_INFORMATIONAL_RESPONSES + 1) * 10;
  const excess = { bound: "informational_count", bytes };
  assert.deepEqual(meter.countInformational(10), excess);
});

test("informational responses are bounded in bytes", () => {
  const meter = new ResponseMeter(LIMITS);
  assert.equal(meter.countInformational(MAX_INFORMATIONAL_BYTES), undefined);
  const bytes = MAX_INFORMATIONAL_BYTES + 1;
  const excess = { bound: "informational_bytes", bytes };
  assert.deepEqual(meter.countInformational(1), excess);
});

// Otherwise chunks of a byte take the event loop from other calls.
test("reads of many short parts are delayed by their number", () => {
  assert.equal(readDelayMs(1), 0);
  assert.equal(readDelayMs(UNDELAYED_PARTS), 0);
  const delayMs = readDelayMs(1_000);
  assert.ok(delayMs > 0);
  assert.equal(readDelayMs(2_000), 2 * delayMs);
});

test("bytes between two parts of a body are bounded", () => {
  const meter = new ResponseMeter(LIMITS);
  assert.equal(meter.countReceived(MAX_FRAMING_BYTES), undefined);
  meter.recordPart();
  assert.equal(meter.countReceived(MAX_FRAMING_BYTES), undefined);
  const bytes = MAX_FRAMING_BYTES + 1;
  const excess = { bound: "framing_bytes", bytes };
  assert.deepEqual(meter.countReceived(1), excess);
});
