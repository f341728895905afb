import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { formatFault } from "./faults.ts";
import { parseSection } from "./section.ts";
import { MAX_TEXT_BYTES, YAML_OPTIONS } from "./source.ts";

const SERVICE = `services:
  alloc:
    slots_per_server: 6
    connections_per_server: 300
    classes:
      booking: { priority: urgent, deadline_ms: 5000, repeatable: false }
    routes:
      - { path: /, class: booking }
`;

const BAD_SECTIONS: Record<string, { text: string; errors: string[] }> = {
  "a key given twice": {
    text: `${SERVICE}services: {}\n`,
    errors: [
      "alloc:9: services: duplicate_key: expected a key that its mapping does not have already",
    ],
  },
  "a list instead of a mapping": {
    text: "- services\n",
    errors: [
      'alloc:1: invalid_value: expected a mapping with keys among services, stops, found ["services"]',
    ],
  },
  "a key that schemas silently ignore": {
    text: "stops:\n  __proto__: 1\n",
    errors: [
      "alloc:2: __proto__: invalid_key: expected a key that is plain text, other than __proto__",
    ],
  },
  "several invalid keys, each with its line": {
    text: SERVICE.replace("slots_per_server: 6", "slots_per_server: 0")
      .replace("connections_per_server: 300", "conections_per_server: 300")
      .replace("priority: urgent", "priority: first")
      .replace("deadline_ms: 5000", "deadline_ms: 5s")
      .replace("path: /", "path: bookings"),
    errors: [
      "alloc:2: services.alloc.connections_per_server: missing_key: expected a whole number from 1 to 100000 (connections)",
      "alloc:3: services.alloc.slots_per_server: invalid_value: expected a whole number from 1 to 10000 (slots), found 0",
      "alloc:4: services.alloc.conections_per_server: unknown_key: expected a mapping with keys among measuring_budget_percent, retry_budget_percent, ejection_max_percent, drain_limit_s, cold_start_ms, queue_length, slots_per_server, connections_per_server, classes, routes",
      'alloc:6: services.alloc.classes.booking.priority: invalid_value: expected one of urgent, patient, found "first"',
      'alloc:6: services.alloc.classes.booking.deadline_ms: invalid_value: expected a whole number from 1 to 3600000 (milliseconds), found "5s"',
      'alloc:8: services.alloc.routes.0.path: invalid_value: expected a path that begins with / and has no space, ? or #, found "bookings"',
    ],
  },
  "an invalid name and an invalid value under it": {
    text: SERVICE.replace("booking: {", "Booking: {").replace("5000", "0.5"),
    errors: [
      "alloc:6: services.alloc.classes.Booking.deadline_ms: invalid_value: expected a whole number from 1 to 3600000 (milliseconds), found 0.5",
      "alloc:6: services.alloc.classes.Booking: invalid_key: expected a name of at most 63 lower-case letters, digits, and hyphens inside",
      'alloc:8: services.alloc.routes.0.class: unknown_class: expected one of the class names Booking, found "booking"',
    ],
  },
  "a route to an unknown class": {
    text: SERVICE.replace("class: booking", "class: lookup"),
    errors: [
      'alloc:8: services.alloc.routes.0.class: unknown_class: expected one of the class names booking, found "lookup"',
    ],
  },
  "a class named like a built-in property": {
    text: SERVICE.replace("class: booking", "class: constructor"),
    errors: [
      'alloc:8: services.alloc.routes.0.class: unknown_class: expected one of the class names booking, found "constructor"',
    ],
  },
  "a route behind one that matches all its requests": {
    text: `${SERVICE}      - { method: POST, path: /orders, class: booking }\n`,
    errors: [
      'alloc:9: services.alloc.routes.1: unreachable_route: expected requests that routes.0 does not match already, found "/orders"',
    ],
  },
  "retries where nothing may be repeated": {
    text: SERVICE.replace(
      "    classes",
      "    retry_budget_percent: 5\n    classes",
    ),
    errors: [
      "alloc:5: services.alloc.retry_budget_percent: retry_forbidden: expected 0, because no class of the service is repeatable, found 5",
    ],
  },
  "budgets that leave too little for first attempts": {
    text: SERVICE.replace(
      "    classes",
      "    retry_budget_percent: 45\n    measuring_budget_percent: 6\n    classes",
    ).replace("repeatable: false", "repeatable: true"),
    errors: [
      "alloc:5: services.alloc.retry_budget_percent: budget_exceeded: expected at most 50 together with measuring_budget_percent, found 51",
    ],
  },
  "fewer connections than slots": {
    text: SERVICE.replace("300", "5"),
    errors: [
      "alloc:4: services.alloc.connections_per_server: budget_exceeded: expected at least slots_per_server (6), because each running call holds a connection, found 5",
    ],
  },
  "a stop with a time without zone and two kinds of target": {
    text: `${SERVICE}stops:
  night:
    service: alloc
    data_centre: riga-a
    servers: [a-1]
    at: 2026-12-04T02:00:00
`,
    errors: [
      "alloc:10: stops.night: invalid_value: expected exactly one of data_centre and servers",
      'alloc:14: stops.night.at: invalid_value: expected a time such as 2026-12-04T02:00:00Z, with a time zone, found "2026-12-04T02:00:00"',
    ],
  },
};

for (const [name, { text, errors }] of Object.entries(BAD_SECTIONS)) {
  test(`a section is rejected for ${name}`, () => {
    const result = parseSection({ name: "alloc", text });
    assert.deepEqual(result._unsafeUnwrapErr().map(formatFault), errors);
  });
}

// Failure: nested aliases expand a small text exponentially.
test("a text with exponentially nested aliases is rejected", () => {
  const levels = Array.from({ length: 9 }, (_, level) => {
    const item = level === 0 ? "x" : `*l${level - 1}`;
    return `l${level}: &l${level} [${Array(9).fill(item).join(", ")}]`;
  });
  const text = levels.join("\n");
  const [fault] = parseSection({ name: "alloc", text })._unsafeUnwrapErr();
  assert.equal(fault?.type, "yaml_syntax");
});

const HOSTILE_TEXTS = {
  "deep lists": "- ".repeat(200_000),
  "deep brackets": "[".repeat(200_000),
  "30,000 unknown keys": Array.from({ length: 30_000 }, (_, i) => `a${i}: 1\n`),
};

for (const [name, text] of Object.entries(HOSTILE_TEXTS)) {
  // Failure: parsing such a text blocks the event loop or exceeds the stack.
  test(`${name} are rejected in reasonable time`, () => {
    const lines = Array.isArray(text) ? text.join("") : text;
    assert.ok(parseSection({ name: "alloc", text: lines }).isErr());
  });
}

test("the parser's quadratic check of keys is disabled", () => {
  // It takes 10 s for 30,000 keys, which is longer than an election.
  assert.equal(YAML_OPTIONS.uniqueKeys, false);
});

test("no text makes the parser throw", () => {
  const piece = fc.constantFrom(
    ..."services: |stops:|alloc:| |\n|- |[|]|{|}|&a|*a|!!int|? |'|\"|1e999|~|#|%|\0|<<:".split(
      "|",
    ),
  );
  const texts = fc.array(fc.oneof(piece, fc.string()), { maxLength: 40 });
  fc.assert(
    fc.property(texts, (pieces) => {
      const text = pieces.join("");
      parseSection({ name: "alloc", text }).mapErr((faults) => {
        const lines = text.split("\n").length;
        for (const { line } of faults) assert.ok(line >= 1 && line <= lines);
      });
    }),
    { seed: 20_261_203, numRuns: 2_000 },
  );
});

test("a text above the size limit is not parsed", () => {
  const text = "#".repeat(MAX_TEXT_BYTES + 1);
  const [fault] = parseSection({ name: "alloc", text })._unsafeUnwrapErr();
  assert.equal(fault?.type, "text_too_long");
});

test("a service gets the stated defaults", () => {
  const section = parseSection({ name: "alloc", text: SERVICE });
  const value = section._unsafeUnwrap();
  assert.ok(value.kind === "team");
  const { classes, routes, ...numbers } = value.services[0] ?? assert.fail();
  assert.deepEqual(numbers, {
    name: "alloc",
    measuringBudgetPercent: 1,
    // No class is repeatable, so nothing can be retried.
    retryBudgetPercent: 0,
    ejectionMaxPercent: 30,
    drainLimitS: 600,
    coldStartMs: 10_000,
    queueLength: 400,
    slotsPerServer: 6,
    connectionsPerServer: 300,
  });
  assert.deepEqual(routes, [{ path: "/", class: "booking" }]);
  assert.equal(classes[0]?.repeatable, false);
});

test("an empty text is a section without services", () => {
  const section = parseSection({ name: "alloc", text: "" })._unsafeUnwrap();
  assert.ok(section.kind === "team" && section.services.length === 0);
});
