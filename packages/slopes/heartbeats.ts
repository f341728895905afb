import {
  AcceptanceTracker,
  type EntryHeartbeat,
  EntryTable,
} from "#configuration";
import { ConfigurationPublisher, LeaderDuties } from "#control";
import { ManualClock } from "#model";
import { SilentLogger } from "#telemetry";
import {
  CountingNetwork,
  makeConfiguration,
  makeHello,
  makeRows,
} from "./configuration.ts";
import { cpuUs, measureHeap, medianCpuUs } from "./measure.ts";
import type { Row } from "./report.ts";
import { makeEntry, TARGET_ENTRIES } from "./synthetic.ts";
import { encodeAndDecode, messageBytes } from "./wire_size.ts";

const ENTRY_COUNTS = [20, 100, 300, 1_000];
const SERVICE_COUNT = 20;
/** Longer than the time for which the publisher batches heartbeats. */
const RELAY_WAIT_MS = 110;
const HEARTBEAT_ROUNDS = 20;
/** Tables built at once: the heap of a single one is lost in other garbage. */
const TABLE_COUNT = 20;

/** Measures what the heartbeats of entries cost control. */
export async function measureHeartbeats(): Promise<Row[]> {
  await measureEntries(300);
  const figures: (Awaited<ReturnType<typeof measureEntries>> & {
    size: number;
  })[] = [];
  for (const size of ENTRY_COUNTS)
    figures.push({ size, ...(await measureEntries(size)) });
  const axis = { per: "entries", target: TARGET_ENTRIES };
  return makeRows(
    figures,
    axis,
  )([
    ["heartbeat of one entry", "bytes", (f) => f.heartbeatBytes],
    ["answer to one heartbeat", "bytes", (f) => f.answerBytes],
    ["CPU, heartbeats of all entries and answers", "us", (f) => f.heartbeatsUs],
    ["sightings, to each other control host", "bytes", (f) => f.relayBytes],
    ["CPU, sightings sent and received", "us", (f) => f.relayUs],
    ["CPU, leader's duties, at rest (each 250 ms)", "us", (f) => f.dutiesUs],
    ["CPU, one check of acceptance (each 10 ms)", "us", (f) => f.acceptUs],
    ["heap of the table of entries", "bytes", (f) => f.heap],
  ]);
}

async function measureEntries(size: number) {
  const configuration = makeConfiguration(SERVICE_COUNT, size);
  const clock = new ManualClock();
  const table = new EntryTable();
  const network = new CountingNetwork();
  const publisher = new ConfigurationPublisher({
    network,
    clock,
    table,
    logger: new SilentLogger(),
    confirmRead: () => Promise.resolve(true),
    otherControlHosts: () => [],
  });
  publisher.publish(configuration);
  let sequence = 0;
  let heartbeatBytes = 0;
  const sendHeartbeats = async () => {
    sequence++;
    for (let index = 0; index < size; index++) {
      const heartbeat: EntryHeartbeat = {
        // An entry sends its record only once per connection.
        ...(sequence === 1 && { entry: makeEntry(index) }),
        version: configuration.version,
        sequence,
        stops: [],
      };
      const read = encodeAndDecode("confirm", heartbeat);
      heartbeatBytes = read.bytes;
      network.receive("confirm", read.payload, makeHello(index));
    }
    await new Promise((resolve) => setTimeout(resolve, RELAY_WAIT_MS));
  };
  await sendHeartbeats();
  const start = process.cpuUsage();
  for (let i = 0; i < HEARTBEAT_ROUNDS; i++) await sendHeartbeats();
  const heartbeatsUs = cpuUs(start) / HEARTBEAT_ROUNDS;
  const { version } = configuration;
  const answerBytes = messageBytes("state", { version, sequence });
  const otherTable = new EntryTable();
  const relayedHeartbeats = table.takeUnrelayedHeartbeats(
    configuration.view,
    0,
  );
  const relayBytes = messageBytes("entries_seen", {
    entries: relayedHeartbeats,
  });
  const { bytes } = measureHeap(() =>
    Array.from({ length: TABLE_COUNT }, () => {
      const copy = new EntryTable();
      copy.mergeRelayed(
        encodeAndDecode("entries_seen", { entries: relayedHeartbeats }).payload
          .entries,
        0,
      );
      return copy;
    }),
  );
  const entryStates = table.all();
  const relayUs = medianCpuUs(() => {
    for (const { id, incarnation, stops } of entryStates) {
      table.recordHeartbeat({ id, incarnation }, { version, stops }, 0);
    }
    const entries = table.takeUnrelayedHeartbeats(configuration.view, 0);
    const { payload } = encodeAndDecode("entries_seen", { entries });
    otherTable.mergeRelayed(payload.entries, 0);
  });
  const acceptance = new AcceptanceTracker();
  acceptance.update({ ...configuration, formerViews: [] });
  const duties = new LeaderDuties({ clock, table, acceptance });
  const registry = { ...configuration, stops: [] };
  const dutiesUs = medianCpuUs(() => void duties.dueCommands(true, registry));
  const acceptUs = medianCpuUs(
    () => void acceptance.isAccepted(version, table),
  );
  return {
    heartbeatBytes,
    answerBytes,
    heartbeatsUs,
    relayBytes,
    relayUs,
    dutiesUs,
    acceptUs,
    heap: bytes / TABLE_COUNT,
  };
}
