import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type CallLine,
  classifyCall,
  LossReport,
  parseCallLine,
} from "./index.ts";

const LINE = {
  time: "2026-12-04T00:00:01.000Z",
  level: "info",
  message: "call",
  host: "entry-1",
  role: "entry",
  requestId: "a",
  service: "alloc",
  class: "lookup",
  outcome: "answered",
  objectiveMs: 600,
  ms: 400,
  attempts: [
    {
      server: "s1",
      end: "answered",
      basis: { by: "grant", checks: 1, slowdown: 1, inFlight: 2, ageMs: 0 },
      waitedMs: 10,
      ranMs: 390,
    },
  ],
};

function call(changes: object = {}): CallLine {
  const parsed = parseCallLine(JSON.stringify({ ...LINE, ...changes }));
  assert.ok(parsed);
  return parsed;
}

const attempt = (changes: object) => ({ ...LINE.attempts[0], ...changes });

const CASES: [loss: string, changes: object][] = [
  ["in_objective", {}],
  ["in_objective", { ms: 5_000, objectiveMs: undefined }],
  ["late_waiting", { ms: 700, attempts: [attempt({ waitedMs: 300 })] }],
  ["late_at_server", { ms: 700 }],
  ["late_after_resend", { ms: 700, attempts: [attempt({}), attempt({})] }],
  ["refused_queue_full", { outcome: "not-run", code: "queue_full" }],
  ["failed_deadline_expired", { outcome: "unknown", code: "deadline_expired" }],
  ["left_by_caller", { outcome: "unknown", stopped: "caller_closed" }],
];

for (const [loss, changes] of CASES) {
  test(`${loss} for ${JSON.stringify(changes).slice(0, 60)}`, () => {
    assert.equal(classifyCall(call(changes)), loss);
  });
}

test("text before the JSON of a line is ignored", () => {
  const line = `  12.5 host-1/entry ${JSON.stringify(LINE)}`;
  assert.equal(parseCallLine(line)?.service, "alloc");
});

test("other kinds of lines and truncated lines are not counted", () => {
  const text = JSON.stringify(LINE);
  for (const line of ["", "call", '{"message":"ready"}', text.slice(0, -9)]) {
    assert.equal(parseCallLine(line), undefined);
  }
});

test("a call counts in the window of its arrival, not of its end", () => {
  const report = new LossReport({ windowMs: 1_000 });
  report.add(call());
  report.add(call({ time: "2026-12-04T00:00:03.100Z", ms: 200 }));
  const starts = report.windows().map(([start]) => start);
  const first = Date.parse("2026-12-04T00:00:00Z");
  assert.deepEqual(starts, [first, first + 2_000]);
});

// Totals alone hid the slot time lost to calls at temporarily slow servers.
test("slot time is split by how the server was chosen", () => {
  const report = new LossReport({ windowMs: 1_000 });
  const slow = { basis: { by: "grant", checks: 0, slowdown: 4 } };
  report.add(call());
  report.add(
    call({ attempts: [attempt({ ...slow, end: "timeout", ranMs: 2_000 })] }),
  );
  assert.deepEqual(report.slots(), [
    ["alloc asked", { attempts: 1, cut: 0, ranMs: 390 }],
    ["alloc known_slow", { attempts: 1, cut: 1, ranMs: 2_000 }],
  ]);
});
