import assert from "node:assert/strict";
import { test } from "node:test";
import type { Service } from "#model";
import { Metrics } from "./metrics.ts";

function service(name: string, classes: string[]): Service {
  return {
    name,
    measuringBudgetPercent: 1,
    retryBudgetPercent: 10,
    ejectionMaxPercent: 30,
    drainLimitS: 600,
    coldStartMs: 0,
    queueLength: 10,
    slotsPerServer: 1,
    connectionsPerServer: 1,
    classes: classes.map((className) => ({
      name: className,
      priority: "urgent",
      deadlineMs: 1_000,
      repeatable: true,
    })),
    routes: [],
  };
}

test("calls, waiting and probes are counted by service and class", async () => {
  const metrics = new Metrics({ configurationVersion: () => 12 });
  metrics.configure([service("alloc", ["booking"])]);
  const call = { service: "alloc", class: "booking", ms: 4 };
  metrics.recordCall({ ...call, outcome: "answered" });
  metrics.recordCall({ ...call, outcome: "not-run", code: "queue_full" });
  metrics.recordWait(call);
  metrics.recordProbe("alloc", 6);
  metrics.recordServerRequest("alloc", "check");
  metrics.recordMalformedHeader("alloc");
  metrics.recordExceededBound("alloc", "body_bytes");
  metrics.recordConfiguration("answer", 300);
  const text = await metrics.text();
  for (const line of [
    'mangobank_call_duration_seconds_count{service="alloc",class="booking"} 2',
    'mangobank_configuration_delay_seconds_sum{way="answer"} 0.3',
    'mangobank_call_waiting_seconds_count{service="alloc",class="booking"} 1',
    'mangobank_exceeded_response_bounds_total{service="alloc",bound="body_bytes"} 1',
    'outcome="not-run",code="queue_full"} 1',
    'mangobank_probe_slot_seconds_total{service="alloc"} 0.006',
    'mangobank_server_requests_total{service="alloc",kind="check"} 1',
    'mangobank_malformed_server_headers_total{service="alloc"} 1',
    "mangobank_configuration_version 12",
    "nodejs_eventloop_lag_p99_seconds",
  ]) {
    assert.ok(text.includes(line), line);
  }
});

test("services and classes not in the document create no new series", async () => {
  const metrics = new Metrics({
    queueLength: () => [
      ["x", 1],
      ["y", 2],
    ],
  });
  for (let i = 0; i < 50; i++) {
    const call = { service: `s${i}`, class: `c${i}`, ms: 1 };
    metrics.recordCall({ ...call, outcome: "answered" });
    metrics.recordProbe(call.service, 1);
  }
  const text = await metrics.text();
  assert.equal(text.match(/^mangobank_calls_total\{/gm)?.length, 1);
  assert.match(text, /mangobank_queue_length\{service="other"\} 3/);
});

test("series of a removed service are dropped", async () => {
  const metrics = new Metrics();
  metrics.configure([service("alloc", ["booking"])]);
  const call = { service: "alloc", class: "booking", ms: 1 };
  metrics.recordCall({ ...call, outcome: "answered" });
  metrics.recordServerRequest("alloc", "probe");
  metrics.configure([service("report", ["export"])]);
  assert.ok(!(await metrics.text()).includes("alloc"));
});

test("peer byte counters report totals regardless of scrapes", async () => {
  const sentByKind = new Map([["confirm", 7]]);
  const refusedByKind = new Map([["state", 3]]);
  const bytes = { sentBytes: 10, receivedBytes: 20 };
  const messagesByKind = new Map([["confirm", 2]]);
  const closedByFault = new Map([["hello_missing", 4]]);
  const links = { openedLinks: 5, closedByFault };
  const traffic = {
    ...{ ...bytes, sentByKind, refusedByKind },
    ...{ messagesByKind, ...links },
  };
  const metrics = new Metrics({ peerTraffic: () => traffic });
  await metrics.text();
  traffic.sentBytes = 15;
  const text = await metrics.text();
  assert.match(text, /mangobank_peer_bytes_total\{direction="sent"\} 15/);
  assert.match(text, /mangobank_peer_sent_bytes_total\{kind="confirm"\} 7/);
  assert.match(text, /mangobank_refused_messages_total\{kind="state"\} 3/);
  assert.match(text, /mangobank_peer_sent_messages_total\{kind="confirm"\} 2/);
  assert.match(text, /mangobank_peer_links_opened_total 5/);
  assert.match(
    text,
    /mangobank_peer_connections_closed_total\{fault="hello_missing"\} 4/,
  );
});

// Failure: each series of such a service repeats its name, in megabytes a scrape.
test("a service with a name of any length makes no label", async () => {
  const metrics = new Metrics();
  const long = "x".repeat(90_000);
  const names = [long, "__proto__", "constructor", 'a"\nb'];
  metrics.configure(names.map((name) => service(name, ["booking"])));
  for (const name of names) {
    metrics.recordCall({
      service: name,
      class: "booking",
      ms: 4,
      outcome: "answered",
    });
    metrics.recordProbe(name, 6);
  }
  const text = await metrics.text();
  assert.ok(text.length < 60_000, `${text.length} characters`);
  for (const label of ["other", "__proto__", "constructor", 'a\\"\\nb']) {
    assert.ok(text.includes(`mangobank_probes_total{service="${label}"} 1`));
  }
  metrics.configure([]);
  assert.doesNotMatch(await metrics.text(), /constructor/);
});

// Guards against a time series for each rank that an operator makes up.
test("refusals in an overload are counted by rank and reason", async () => {
  const metrics = new Metrics({ configurationVersion: () => 12 });
  metrics.configure([service("alloc", ["booking"])]);
  const call = { service: "alloc", class: "booking", ms: 4 };
  for (const rank of [2, 70, 71, 0.5, undefined]) {
    const refused = { outcome: "not-run", code: "queue_full" } as const;
    metrics.recordCall({ ...call, ...refused, rank, reason: "no_room" });
  }
  const lines = (await metrics.text())
    .split("\n")
    .filter((line) => line.startsWith("mangobank_overload_refusals_total"));
  assert.deepEqual(lines, [
    'mangobank_overload_refusals_total{rank="2",reason="no_room"} 1',
    'mangobank_overload_refusals_total{rank="other",reason="no_room"} 3',
  ]);
});
