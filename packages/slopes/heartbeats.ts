import {
  AcceptanceTracker,
  type EntryHeartbeat,
  EntryTable,
} from "#configuration";
import { ConfigurationPublisher, LeaderDuties } from "#control";
import { ManualClock } from "#model";
import {
  CountingNetwork,
  configurationOf,
  hello,
  rowsOf,
} from "./configuration.ts";
import { cpuOf, cpuUs, heapOf } from "./measure.ts";
import type { Row } from "./report.ts";
import { makeEntry, TARGET_ENTRIES } from "./synthetic.ts";
import { frameBytes, passed } from "./wire_size.ts";

const ENTRIES = [20, 100, 300, 1_000];
const SERVICES = 20;
/** Longer than the time in which the publisher gathers heartbeats. */
const BATCH_MS = 110;
const BEATS = 20;
/** Tables built at a time, as one is small against other garbage. */
const TABLES = 20;

/** What each heartbeat of an entry costs at control. */
export async function heartbeats(): Promise<Row[]> {
  await measure(300);
  const figures: (Awaited<ReturnType<typeof measure>> & { size: number })[] =
    [];
  for (const size of ENTRIES) figures.push({ size, ...(await measure(size)) });
  const where = { per: "entries", target: TARGET_ENTRIES };
  return rowsOf(
    figures,
    where,
  )([
    ["heartbeat of one entry", "bytes", (f) => f.confirmBytes],
    ["answer to one heartbeat", "bytes", (f) => f.stateBytes],
    ["CPU, heartbeats of all entries and answers", "us", (f) => f.beatUs],
    ["sightings, to each other control host", "bytes", (f) => f.seenBytes],
    ["CPU, sightings sent and received", "us", (f) => f.seenUs],
    ["CPU, leader's duties, at rest (each 250 ms)", "us", (f) => f.dutiesUs],
    ["CPU, one check of acceptance (each 10 ms)", "us", (f) => f.acceptUs],
    ["heap of the table of entries", "bytes", (f) => f.heap],
  ]);
}

async function measure(size: number) {
  const configuration = configurationOf(SERVICES, size);
  const clock = new ManualClock();
  const table = new EntryTable();
  const network = new CountingNetwork();
  const publisher = new ConfigurationPublisher({
    network,
    clock,
    table,
    confirmRead: () => Promise.resolve(true),
    otherControlHosts: () => [],
  });
  publisher.publish(configuration);
  let sequence = 0;
  let confirmBytes = 0;
  const beat = async () => {
    sequence++;
    for (let index = 0; index < size; index++) {
      const confirmation: EntryHeartbeat = {
        // A record is sent once for each connection.
        ...(sequence === 1 && { entry: makeEntry(index) }),
        version: configuration.version,
        sequence,
        stops: [],
      };
      const read = passed("confirm", confirmation);
      confirmBytes = read.bytes;
      network.receive("confirm", read.payload, hello(index));
    }
    await new Promise((resolve) => setTimeout(resolve, BATCH_MS));
  };
  await beat();
  const start = process.cpuUsage();
  for (let i = 0; i < BEATS; i++) await beat();
  const beatUs = cpuUs(start) / BEATS;
  const { version } = configuration;
  const stateBytes = frameBytes("state", { version, sequence });
  const other = new EntryTable();
  const told = table.takeUnrelayedHeartbeats(configuration.view, 0);
  const seenBytes = frameBytes("entries_seen", { entries: told });
  const { bytes } = heapOf(() =>
    Array.from({ length: TABLES }, () => {
      const copy = new EntryTable();
      copy.mergeRelayed(
        passed("entries_seen", { entries: told }).payload.entries,
        0,
      );
      return copy;
    }),
  );
  const confirmations = table.all();
  const seenUs = cpuOf(() => {
    for (const { id, incarnation, stops } of confirmations) {
      table.recordHeartbeat({ id, incarnation }, { version, stops }, 0);
    }
    const entries = table.takeUnrelayedHeartbeats(configuration.view, 0);
    const { payload } = passed("entries_seen", { entries });
    other.mergeRelayed(payload.entries, 0);
  });
  const acceptance = new AcceptanceTracker();
  acceptance.update({ ...configuration, formerViews: [] });
  const duties = new LeaderDuties({ clock, table, acceptance });
  const registry = { ...configuration, stops: [] };
  const dutiesUs = cpuOf(() => void duties.dueCommands(true, registry));
  const acceptUs = cpuOf(() => void acceptance.isAccepted(version, table));
  return {
    confirmBytes,
    stateBytes,
    beatUs,
    seenBytes,
    seenUs,
    dutiesUs,
    acceptUs,
    heap: bytes / TABLES,
  };
}
