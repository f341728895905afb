import assert from "node:assert/strict";
import { test } from "node:test";
import { OutlierDetector } from "./outlier_detector.ts";
import { RateLimitLog } from "./rate_limit_log.ts";
import { SequenceNumbers } from "./sequence_numbers.ts";
import { ServerSlots } from "./server_slots.ts";
import { makeServer, SERVICE } from "./test_cluster.ts";

function makeLog() {
  const sequenceNumbers = new SequenceNumbers();
  const outliers = new OutlierDetector(SERVICE);
  const servers = ["s0", "s1", "s2"].map((id) => {
    const record = makeServer(id);
    return new ServerSlots(record, outliers.add(id, record.slots), 0);
  });
  const log = new RateLimitLog(sequenceNumbers);
  const setLimit = (index: number, rateLimit: number | undefined) => {
    const server = servers[index] as ServerSlots;
    const now = rateLimit === undefined ? 60_000 : 0;
    server.rateLimit.recordAnswer({ rateLimit, complete: true }, now);
    log.record(server);
  };
  const changesSince = (version: number) =>
    log.changesSince(version, { servers, now: 60_000 });
  return { sequenceNumbers, log, servers, setLimit, changesSince };
}

test("an entry that lacks nothing is told nothing", () => {
  const { log, setLimit, changesSince } = makeLog();
  setLimit(0, 2);
  assert.equal(changesSince(log.version), undefined);
});

test("an entry is told what changed since its version", () => {
  const { log, setLimit, changesSince } = makeLog();
  setLimit(0, 2);
  const { version } = log;
  setLimit(1, 3);
  setLimit(0, undefined);
  const changes = changesSince(version);
  assert.equal(changes?.isComplete, false);
  assert.deepEqual(
    changes?.limited.map(({ server, perSecond }) => [server, perSecond]),
    [["s1", 3]],
  );
  assert.deepEqual(changes?.unlimited, ["s0"]);
  assert.equal(changes?.version, log.version);
});

// Guards against an entry that keeps limits which another dispatcher, or an
// earlier one of the same process, has told it.
test("an entry with a version from before the log is told all limits", () => {
  const { sequenceNumbers, servers, setLimit, changesSince } = makeLog();
  setLimit(2, 1);
  const changes = changesSince(0);
  assert.equal(changes?.isComplete, true);
  assert.deepEqual(
    changes?.limited.map(({ server }) => server),
    ["s2"],
  );
  const later = new RateLimitLog(sequenceNumbers);
  const context = { servers, now: 60_000 };
  assert.equal(later.changesSince(2, context)?.isComplete, true);
});

test("an entry that lacks more changes than are kept is told all limits", () => {
  const { log, setLimit, changesSince } = makeLog();
  const { version } = log;
  for (let i = 0; i < 600; i++) {
    setLimit(0, 2);
    setLimit(0, undefined);
  }
  const changes = changesSince(version);
  assert.equal(changes?.isComplete, true);
  assert.deepEqual(changes?.limited, []);
});
