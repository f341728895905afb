import assert from "node:assert/strict";
import perfHooks from "node:perf_hooks";
import { mock, test } from "node:test";
import { ControlMetrics, Metrics } from "./index.ts";

/** Few enough that samples do not add to the cost of an idle process. */
const MAX_SAMPLES_PER_S = 4;

// Guards against metrics that wake an idle process many times a second.
test("the event loop delay is sampled a few times a second", () => {
  const monitor = mock.method(perfHooks, "monitorEventLoopDelay");
  new Metrics();
  new ControlMetrics({
    configurationVersion: () => 0,
    appliedIndex: () => 0,
    term: () => 0,
    leading: () => false,
    liveEntries: () => 0,
    peerTraffic: () => ({
      sentBytes: 0,
      receivedBytes: 0,
      sentByKind: new Map(),
      refusedByKind: new Map(),
    }),
    diskWritable: () => true,
    failedWrites: () => new Map(),
  });
  const intervalsMs = monitor.mock.calls.map(
    ({ arguments: [options] }) => options?.resolution ?? 10,
  );
  monitor.mock.restore();
  assert.equal(intervalsMs.length, 2);
  for (const ms of intervalsMs) assert.ok(1_000 / ms <= MAX_SAMPLES_PER_S);
});

// Guards against an upgrade of which nobody can tell which hosts have it.
test("the metrics name the build", async () => {
  const text = await new Metrics().text();
  assert.match(text, /^mangobank_build_info\{build="[^"]+"\} 1$/m);
});

// Guards against a full disk that no metric shows.
test("the metrics of control show a disk that takes no writes", async () => {
  const metrics = new ControlMetrics({
    configurationVersion: () => 0,
    appliedIndex: () => 0,
    term: () => 0,
    leading: () => false,
    liveEntries: () => 0,
    peerTraffic: () => ({
      sentBytes: 0,
      receivedBytes: 0,
      sentByKind: new Map(),
      refusedByKind: new Map(),
    }),
    diskWritable: () => false,
    failedWrites: () => new Map([["ENOSPC", 3]]),
  });
  const text = await metrics.text();
  assert.match(text, /^mangobank_disk_writable 0$/m);
  assert.match(
    text,
    /^mangobank_disk_failed_writes_total\{code="ENOSPC"\} 3$/m,
  );
});
