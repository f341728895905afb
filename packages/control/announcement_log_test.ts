import assert from "node:assert/strict";
import { test } from "node:test";
import { type BackendServer, ManualClock } from "#model";
import { ControlMetrics, type LogFields, type Logger } from "#telemetry";
import { AnnouncementLog } from "./announcement_log.ts";

const BORN = 1_750_000_000_000;

const SERVER: BackendServer = {
  id: "w1",
  service: "alloc",
  address: { host: "10.0.0.1", port: 8080 },
  dataCentre: "riga-a",
  incarnation: BORN,
  sequence: 1,
  state: "ready",
  slots: 6,
  connections: 0,
  inFlight: 0,
  startedMsAgo: 0,
};

/** Keeps the lines that are logged. */
class LineLogger implements Logger {
  readonly lines: (LogFields & { message: string })[] = [];

  readonly info = (message: string, fields: LogFields = {}): void => {
    this.lines.push({ ...fields, message });
  };
  readonly warn = this.info;
  readonly error = this.info;
  readonly debug = this.info;
  readonly trace = this.info;

  with(): Logger {
    return this;
  }
}

function createLog() {
  const clock = new ManualClock(2_000, BORN);
  const logger = new LineLogger();
  const metrics = new ControlMetrics({
    configurationVersion: () => 0,
    appliedIndex: () => 0,
    term: () => 0,
    leading: () => false,
    liveEntries: () => 0,
    diskWritable: () => true,
    failedWrites: () => new Map(),
    peerTraffic: () => ({
      sentBytes: 0,
      receivedBytes: 0,
      sentByKind: new Map(),
      refusedByKind: new Map(),
    }),
  });
  const log = new AnnouncementLog({ clock, logger, metrics });
  return { clock, logger, metrics, log };
}

// The lines of the day of an incident told that a server had gone, but not who had
// brought its record, nor that its address had changed.
for (const [name, { former, message }] of Object.entries({
  "a first announcement": { former: undefined, message: "registered" },
  "a higher start": {
    former: { ...SERVER, incarnation: BORN - 1 },
    message: "restarted",
  },
  "another address": {
    former: { ...SERVER, address: { host: "10.0.0.2", port: 8080 } },
    message: "changed",
  },
  "a jump of the sequence": {
    former: { ...SERVER, sequence: -1_000 },
    message: "changed",
  },
  "another capacity": { former: { ...SERVER, slots: 2 }, message: "changed" },
  "another data centre": {
    former: { ...SERVER, dataCentre: "riga-b" },
    message: "changed",
  },
})) {
  test(`${name} is logged with the record and the former one`, () => {
    const { log, logger } = createLog();
    log.accepted(SERVER, { record: former, otherServices: [] });
    const [line] = logger.lines;
    assert.equal(line?.message, `backend server ${message}`);
    assert.equal(line?.address, "10.0.0.1:8080");
    assert.equal(line?.bornAgoMs, 2_000);
    const { incarnation } = (line?.former ?? {}) as { incarnation?: number };
    assert.equal(incarnation, former?.incarnation);
  });
}

// Guards against a line for each heartbeat of each server.
test("a renewal is not logged", () => {
  const { log, logger } = createLog();
  const record = { ...SERVER, sequence: 0, inFlight: 3 };
  log.accepted(SERVER, { record, otherServices: [] });
  assert.deepEqual(logger.lines, []);
});

test("a registration names the other services with a server of its id", () => {
  const { log, logger } = createLog();
  log.accepted(SERVER, { record: undefined, otherServices: ["report"] });
  assert.deepEqual(logger.lines[0]?.otherServices, ["report"]);
});

test("refused inputs are counted also where their lines are omitted", async () => {
  const { log, logger, metrics } = createLog();
  const input = {
    call: "deregistration",
    reason: "malformed",
    message: "deregistration cannot be read",
    server: "w".repeat(10_000),
    incarnation: BORN + 60_000,
    fields: { problems: ["born: expected int"] },
  } as const;
  for (let count = 0; count < 100; count++) log.refused(input);
  assert.equal(logger.lines.length, 5);
  assert.equal(logger.lines[0]?.bornAgoMs, -58_000);
  assert.equal(String(logger.lines[0]?.server).length, 256);
  assert.ok(
    (await metrics.text()).includes(
      'mangobank_refused_inputs_total{call="deregistration",reason="malformed"} 100',
    ),
  );
});
