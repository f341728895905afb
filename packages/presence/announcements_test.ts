import assert from "node:assert/strict";
import { test } from "node:test";
import { parseAnnouncement, refusalResponse } from "./announcements.ts";

const BODY = {
  service: "alloc",
  host: "10.0.1.7",
  port: 9_000,
  data_centre: "riga-a",
  incarnation: 1_764_792_036_000,
  sequence: 1,
  state: "ready",
  slots: 6,
  connections: 300,
  in_flight: 2,
  started_ms_ago: 1_500.4,
};

test("the service's sizes are defaults of an announcement", () => {
  const { slots: _, ...rest } = BODY;
  const server = parseAnnouncement("w-1", rest, { slots: 4 })._unsafeUnwrap();
  assert.deepEqual([server.slots, server.inFlight], [4, 2]);
  assert.equal(server.startedMsAgo, 1_500);
});

for (const [field, value] of [
  ["service", "a/b"],
  ["service", ""],
  ["host", "10.0.1.7/x"],
  ["port", 0],
  ["port", 70_000],
  ["data_centre", undefined],
  ["incarnation", 1.5],
  ["incarnation", -1],
  ["incarnation", 2 ** 60],
  ["sequence", "1"],
  ["state", "gone"],
  ["slots", 0],
  ["connections", null],
  ["in_flight", Number.NaN],
  ["started_ms_ago", -1],
] as const) {
  test(`an announcement with ${field} ${String(value)} is malformed`, () => {
    const parsed = parseAnnouncement("w-1", { ...BODY, [field]: value });
    const fault = parsed._unsafeUnwrapErr();
    assert.ok(fault.type === "malformed");
    assert.match(fault.problems.join(), new RegExp(`^${field}: `));
  });
}

test("a body that is no object, or an invalid id, is malformed", () => {
  for (const body of [undefined, null, 3, "x", []]) {
    assert.ok(parseAnnouncement("w-1", body).isErr());
  }
  assert.ok(parseAnnouncement("w/1", BODY).isErr());
});

test("a refusal contains the known incarnation, so that the server can recover", () => {
  assert.deepEqual(refusalResponse({ type: "older_incarnation", known: 7 }), {
    status: 409,
    body: { error: "older_incarnation", known: 7 },
  });
});
