import { Encoder } from "cbor-x";
import { type PutSection, Registry, type RegistryCommand } from "#registry";
import { rowsOf } from "./configuration.ts";
import { cpuUs, heapOf, median } from "./measure.ts";
import type { Row } from "./report.ts";
import { INCARNATION, makeEntry, sectionText, TARGET } from "./synthetic.ts";

const SECTIONS = [100, 300, 860];
const CHANGES = [500, 1_000, 2_000];
const FORMER_VIEWS = [50, 150, 450];
const CHANGED_SECTIONS = 40;
const ENTRIES = 100;
const MEASURED = 15;
const SHA = "a".repeat(64);
/** As the log stores commands. */
const encoder = new Encoder({ useRecords: false });

/** The agreed state of control: memory, log and snapshots. */
export function controlLog(): Row[] {
  bySections(20);
  const sections = SECTIONS.map((size) => ({ size, ...bySections(size) }));
  const views = FORMER_VIEWS.map((size) => ({ size, ...byViews(size) }));
  const changes = CHANGES.map((size) => ({ size, ...byChanges(size) }));
  return [
    ...rowsOf(sections, {
      per: "sections of one service",
      target: TARGET.services,
    })([
      ["CPU, one accepted change applied", "us", (f) => f.applyUs],
      ["log entry of a change, before its envelope", "bytes", (f) => f.logged],
      ["snapshot", "bytes", (f) => f.snapshotBytes],
      ["CPU, snapshot taken", "us", (f) => f.snapshotUs],
      ["CPU, snapshot restored", "us", (f) => f.restoreUs],
      ["heap of the registry", "bytes", (f) => f.heap],
    ]),
    ...rowsOf(views, {
      per: `former views of ${ENTRIES} entries`,
      target: FORMER_VIEWS.at(-1) ?? 0,
    })([
      ["snapshot", "bytes", (f) => f.snapshotBytes],
      ["CPU, snapshot taken", "us", (f) => f.snapshotUs],
      ["CPU, snapshot restored", "us", (f) => f.restoreUs],
      ["heap of the registry", "bytes", (f) => f.heap],
      ["heap of a registry restored", "bytes", (f) => f.restoredHeap],
      ["CPU, one entry joins", "us", (f) => f.joinUs],
    ]),
    ...rowsOf(changes, {
      per: `changes kept, ${CHANGED_SECTIONS} sections`,
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
class Sections {
  readonly registry = new Registry();
  readonly #revisions = new Map<number, number>();
  #at = 1_764_792_000_000;

  constructor(count: number) {
    for (let index = 0; index < ENTRIES; index++) {
      const entry = makeEntry(index);
      // Long ago, so that the former views of the start are forgotten.
      this.registry.apply({ type: "entry_joined", entry, at: 1 });
    }
    const names = Array.from({ length: count }, (_, i) => sectionName(i));
    this.#apply({
      section: "system",
      actor: { type: "system" },
      text: JSON.stringify({
        regions: { north: ["centre-0001"] },
        teams: { team: { credential_sha256: SHA } },
        sections: Object.fromEntries(names.map((name) => [name, "team"])),
      }),
      baseRevision: 0,
    });
    for (let index = 0; index < count; index++) this.change(index);
  }

  /** Puts a section whose service differs in one number. */
  change(index: number): RegistryCommand {
    const baseRevision = this.#revisions.get(index) ?? 0;
    this.#revisions.set(index, baseRevision + 1);
    return this.#apply({
      section: sectionName(index),
      actor: { type: "team", credentialSha256: SHA },
      text: sectionText(index, 1, 600 + baseRevision),
      baseRevision,
    });
  }

  #apply(
    facts: Pick<PutSection, "section" | "actor" | "text" | "baseRevision">,
  ): RegistryCommand {
    this.#at += 6_000;
    const changeId = `0199${this.#at.toString(16).padStart(32, "0")}`;
    const command: PutSection = {
      type: "put_section",
      ...facts,
      changeId,
      at: this.#at,
    };
    const reply = this.registry.apply(command);
    if (reply.type !== "accepted") throw new Error(JSON.stringify(reply));
    return command;
  }
}

function sectionName(index: number): string {
  return `section-${index + 1}`;
}

function bySections(size: number) {
  const { built, bytes: heap } = heapOf(() => new Sections(size));
  let logged = 0;
  const start = process.cpuUsage();
  for (let index = 0; index < MEASURED; index++) {
    logged = encoder.encode(built.change(index)).length;
  }
  const applyUs = cpuUs(start) / MEASURED;
  return { heap, logged, applyUs, ...snapshotFigures(built.registry) };
}

function byChanges(size: number) {
  const { built, bytes: heap } = heapOf(() => {
    const sections = new Sections(CHANGED_SECTIONS);
    for (let i = 0; i < size; i++) sections.change(i % CHANGED_SECTIONS);
    return sections;
  });
  return { heap, ...snapshotFigures(built.registry) };
}

/** Restarts of entries within the 12 minutes for which views are kept. */
function byViews(size: number) {
  let joinUs = 0;
  const { built, bytes: heap } = heapOf(() => {
    const { registry } = new Sections(1);
    const at = 1_764_800_000_000;
    const start = process.cpuUsage();
    for (let i = 0; i < size; i++) {
      const entry = makeEntry(i % ENTRIES, INCARNATION + 1_000 + i);
      registry.apply({ type: "entry_joined", entry, at: at + i });
    }
    joinUs = cpuUs(start) / size;
    return registry;
  });
  const bytes = built.snapshot();
  const { bytes: restoredHeap } = heapOf(() => {
    const registry = new Registry();
    registry.restore(bytes);
    return registry;
  });
  return { heap, joinUs, restoredHeap, ...snapshotFigures(built) };
}

function snapshotFigures(registry: Registry) {
  const bytes = registry.snapshot();
  const timed = (run: () => void) =>
    median(
      [1, 2, 3].map(() => {
        const start = process.cpuUsage();
        run();
        return cpuUs(start);
      }),
    );
  return {
    snapshotBytes: bytes.length,
    snapshotUs: timed(() => void registry.snapshot()),
    restoreUs: timed(() => {
      const restored = new Registry().restore(bytes);
      if (restored.isErr()) throw new Error(JSON.stringify(restored.error));
    }),
  };
}
