import { Encoder } from "cbor-x";
import { type PutSection, Registry, type RegistryCommand } from "#registry";
import { makeRows } from "./configuration.ts";
import { cpuUs, measureHeap, median } from "./measure.ts";
import type { Row } from "./report.ts";
import {
  FIRST_INCARNATION,
  makeEntry,
  sectionText,
  TARGET,
} from "./synthetic.ts";

const SECTION_COUNTS = [100, 300, 860];
const CHANGE_COUNTS = [500, 1_000, 2_000];
const FORMER_VIEW_COUNTS = [50, 150, 450];
const CHANGED_SECTION_COUNT = 40;
const ENTRY_COUNT = 100;
const MEASURED_CHANGES = 15;
const CREDENTIAL_SHA256 = "a".repeat(64);
/** Encodes commands as the replicated log stores them. */
const encoder = new Encoder({ useRecords: false });

/** Measures memory, log entries and snapshots of control's replicated state. */
export function measureControlLog(): Row[] {
  measureSections(20);
  const sections = SECTION_COUNTS.map((size) => ({
    size,
    ...measureSections(size),
  }));
  const views = FORMER_VIEW_COUNTS.map((size) => ({
    size,
    ...measureFormerViews(size),
  }));
  const changes = CHANGE_COUNTS.map((size) => ({
    size,
    ...measureHistory(size),
  }));
  return [
    ...makeRows(sections, {
      per: "sections of one service",
      target: TARGET.services,
    })([
      ["CPU, one accepted change applied", "us", (f) => f.applyUs],
      [
        "log entry of a change, before its envelope",
        "bytes",
        (f) => f.logEntryBytes,
      ],
      ["snapshot", "bytes", (f) => f.snapshotBytes],
      ["CPU, snapshot taken", "us", (f) => f.snapshotUs],
      ["CPU, snapshot restored", "us", (f) => f.restoreUs],
      ["heap of the registry", "bytes", (f) => f.heap],
    ]),
    ...makeRows(views, {
      per: `former views of ${ENTRY_COUNT} entries`,
      target: FORMER_VIEW_COUNTS.at(-1) ?? 0,
    })([
      ["snapshot", "bytes", (f) => f.snapshotBytes],
      ["CPU, snapshot taken", "us", (f) => f.snapshotUs],
      ["CPU, snapshot restored", "us", (f) => f.restoreUs],
      ["heap of the registry", "bytes", (f) => f.heap],
      ["heap of a registry restored", "bytes", (f) => f.restoredHeap],
      ["CPU, one entry joins", "us", (f) => f.joinUs],
    ]),
    ...makeRows(changes, {
      per: `changes kept, ${CHANGED_SECTION_COUNT} sections`,
      target: TARGET.changesPerDay,
    })([
      ["snapshot with history", "bytes", (f) => f.snapshotBytes],
      ["CPU, snapshot with history taken", "us", (f) => f.snapshotUs],
      ["CPU, snapshot with history restored", "us", (f) => f.restoreUs],
      ["heap of the registry with history", "bytes", (f) => f.heap],
    ]),
  ];
}

/** A registry with one service in each section. */
class RegistryWithSections {
  readonly registry = new Registry();
  readonly #revisions = new Map<number, number>();
  #time = 1_764_792_000_000;

  constructor(count: number) {
    for (let index = 0; index < ENTRY_COUNT; index++) {
      const entry = makeEntry(index);
      // A time long ago, so that the former views of these joins have expired.
      this.registry.apply({ type: "entry_joined", entry, at: 1 });
    }
    const names = Array.from({ length: count }, (_, i) => sectionName(i));
    this.#apply({
      section: "system",
      actor: { type: "system" },
      text: JSON.stringify({
        regions: { north: ["centre-0001"] },
        teams: { team: { credential_sha256: CREDENTIAL_SHA256 } },
        sections: Object.fromEntries(names.map((name) => [name, "team"])),
      }),
      baseRevision: 0,
    });
    for (let index = 0; index < count; index++) this.changeSection(index);
  }

  /** Puts a section again, with another drain limit of its service. */
  changeSection(index: number): RegistryCommand {
    const baseRevision = this.#revisions.get(index) ?? 0;
    this.#revisions.set(index, baseRevision + 1);
    return this.#apply({
      section: sectionName(index),
      actor: { type: "team", credentialSha256: CREDENTIAL_SHA256 },
      text: sectionText(index, 1, 600 + baseRevision),
      baseRevision,
    });
  }

  #apply(
    fields: Pick<PutSection, "section" | "actor" | "text" | "baseRevision">,
  ): RegistryCommand {
    this.#time += 6_000;
    const changeId = `0199${this.#time.toString(16).padStart(32, "0")}`;
    const command: PutSection = {
      type: "put_section",
      ...fields,
      changeId,
      at: this.#time,
    };
    const reply = this.registry.apply(command);
    if (reply.type !== "accepted") throw new Error(JSON.stringify(reply));
    return command;
  }
}

function sectionName(index: number): string {
  return `section-${index + 1}`;
}

function measureSections(size: number) {
  const { built, bytes: heap } = measureHeap(
    () => new RegistryWithSections(size),
  );
  let logEntryBytes = 0;
  const start = process.cpuUsage();
  for (let index = 0; index < MEASURED_CHANGES; index++) {
    logEntryBytes = encoder.encode(built.changeSection(index)).length;
  }
  const applyUs = cpuUs(start) / MEASURED_CHANGES;
  return { heap, logEntryBytes, applyUs, ...snapshotFigures(built.registry) };
}

function measureHistory(size: number) {
  const { built, bytes: heap } = measureHeap(() => {
    const sections = new RegistryWithSections(CHANGED_SECTION_COUNT);
    for (let i = 0; i < size; i++)
      sections.changeSection(i % CHANGED_SECTION_COUNT);
    return sections;
  });
  return { heap, ...snapshotFigures(built.registry) };
}

/** Restarts entries within the 12 minutes for which former views are kept. */
function measureFormerViews(size: number) {
  let joinUs = 0;
  const { built, bytes: heap } = measureHeap(() => {
    const { registry } = new RegistryWithSections(1);
    const at = 1_764_800_000_000;
    const start = process.cpuUsage();
    for (let i = 0; i < size; i++) {
      const entry = makeEntry(i % ENTRY_COUNT, FIRST_INCARNATION + 1_000 + i);
      registry.apply({ type: "entry_joined", entry, at: at + i });
    }
    joinUs = cpuUs(start) / size;
    return registry;
  });
  const bytes = built.snapshot();
  const { bytes: restoredHeap } = measureHeap(() => {
    const registry = new Registry();
    registry.restore(bytes);
    return registry;
  });
  return { heap, joinUs, restoredHeap, ...snapshotFigures(built) };
}

function snapshotFigures(registry: Registry) {
  const bytes = registry.snapshot();
  const medianUs = (run: () => void) =>
    median(
      [1, 2, 3].map(() => {
        const start = process.cpuUsage();
        run();
        return cpuUs(start);
      }),
    );
  return {
    snapshotBytes: bytes.length,
    snapshotUs: medianUs(() => void registry.snapshot()),
    restoreUs: medianUs(() => {
      const restored = new Registry().restore(bytes);
      if (restored.isErr()) throw new Error(JSON.stringify(restored.error));
    }),
  };
}
