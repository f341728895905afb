import { setTimeout as sleep } from "node:timers/promises";
import { v4 as uuid } from "uuid";
import { makeRows } from "./configuration.ts";
import { median } from "./measure.ts";
import {
  cpuMsDuring,
  type MeasuredSite,
  Programs,
  residentBytes,
} from "./process_site.ts";
import type { Row } from "./report.ts";
import {
  SERVICES_PER_SECTION,
  type SiteSize,
  sectionName,
} from "./site_folder.ts";
import { sectionText, TARGET, TARGET_ENTRIES } from "./synthetic.ts";

const ENTRY_COUNTS = [3, 12, 36];
const LARGER_SERVICE_COUNTS = [200, 860];
const SMALL_SERVICE_COUNT = 20;
const SMALL_ENTRY_COUNT = 3;
/** Covers heartbeats and summaries, which are sent every 1 to 3 s. */
const IDLE_MS = 4_000;
const SETTLE_MS = 1_500;
const CHANGE_COUNT = 8;

/** Measures CPU time and memory of processes, idle and during changes. */
export async function measureProcesses(): Promise<Row[]> {
  const programs = await Programs.build();
  try {
    const byEntries: SizedFigures[] = [];
    for (const entries of ENTRY_COUNTS) {
      const size = { entries, services: SMALL_SERVICE_COUNT };
      byEntries.push({ size: entries, ...(await measureSite(programs, size)) });
    }
    // Both series share the measurement of the smallest site.
    const byServices = byEntries
      .slice(0, 1)
      .map((figures) => ({ ...figures, size: SMALL_SERVICE_COUNT }));
    for (const services of LARGER_SERVICE_COUNTS) {
      const size = { entries: SMALL_ENTRY_COUNT, services };
      byServices.push({
        size: services,
        ...(await measureSite(programs, size)),
      });
    }
    return [
      ...makeRows(byEntries, {
        per: `entries, ${SMALL_SERVICE_COUNT} services, 3 control hosts`,
        target: TARGET_ENTRIES,
      })(QUANTITIES),
      ...makeRows(byServices, {
        per: `services, ${SMALL_ENTRY_COUNT} entries, 3 control hosts`,
        target: TARGET.services,
      })(QUANTITIES),
    ];
  } finally {
    programs.remove();
  }
}

type Figures = Awaited<ReturnType<typeof measureSite>>;
type SizedFigures = Figures & { readonly size: number };

const QUANTITIES = [
  ["idle control, busiest: CPU", "ms/s", (f: Figures) => f.busiestMs],
  ["idle control, mean: CPU", "ms/s", (f: Figures) => f.controlMs],
  ["idle control: resident memory", "bytes", (f: Figures) => f.controlRss],
  ["idle control: heap", "bytes", (f: Figures) => f.controlHeap],
  ["idle entry: CPU", "ms/s", (f: Figures) => f.entryMs],
  ["idle entry: sent to peers", "bytes/s", (f: Figures) => f.entryBytes],
  ["idle entry: resident memory", "bytes", (f: Figures) => f.entryRss],
  ["idle entry: heap", "bytes", (f: Figures) => f.entryHeap],
  ["change: CPU of all control hosts", "ms", (f: Figures) => f.changeMs],
  ["change: CPU of one entry", "ms", (f: Figures) => f.entryChangeMs],
  ["change: data folder of one host", "bytes", (f: Figures) => f.logBytes],
  ["change: accepted and in force after", "ms", (f: Figures) => f.inForceMs],
] as const;

async function measureSite(programs: Programs, size: SiteSize) {
  const site = await programs.startSite(size);
  try {
    await sleep(SETTLE_MS);
    const { controlPids, entryPids } = site;
    const sentBefore = await site.sentBytes();
    const cpuMs = await cpuMsDuring([...controlPids, ...entryPids], () =>
      sleep(IDLE_MS),
    );
    const sent = (await site.sentBytes()) - sentBefore;
    const seconds = IDLE_MS / 1_000;
    const controlCpuMs = cpuMs.slice(0, controlPids.length);
    const entryCpuMs = cpuMs.slice(controlPids.length);
    const changes = await changeSections(site, size);
    const mean = (of: readonly number[]) =>
      of.reduce((sum, value) => sum + value, 0) / of.length;
    const heaps = (pids: readonly number[]) =>
      Promise.all(pids.slice(0, 3).map((pid) => site.heapBytes(pid)));
    return {
      busiestMs: Math.max(...controlCpuMs) / seconds,
      controlMs: mean(controlCpuMs) / seconds,
      controlRss: mean(controlPids.map(residentBytes)),
      entryMs: mean(entryCpuMs) / seconds,
      entryBytes: sent / entryPids.length / seconds,
      entryRss: mean(entryPids.map(residentBytes)),
      ...changes,
      controlHeap: mean(await heaps(controlPids)),
      entryHeap: mean(await heaps(entryPids)),
    };
  } finally {
    await site.close();
  }
}

/** Changes one service at a time and returns averages per change. */
async function changeSections(site: MeasuredSite, { services }: SiteSize) {
  const { controlPids, entryPids, processes } = site;
  const operator = processes.operator("team");
  const count = Math.ceil(services / SERVICES_PER_SECTION);
  const revisions = new Map<number, number>();
  const durationsMs: number[] = [];
  const before = site.dataBytes();
  const cpuMs = await cpuMsDuring([...controlPids, ...entryPids], async () => {
    for (let i = 0; i < CHANGE_COUNT; i++) {
      const section = i % count;
      const revision = revisions.get(section) ?? 1;
      const first = section * SERVICES_PER_SECTION;
      const started = performance.now();
      const put = await operator.put(sectionName(section), {
        text: sectionText(first, SERVICES_PER_SECTION, 600 + revision),
        revision,
        changeId: uuid(),
      });
      if (put.isErr()) throw new Error(JSON.stringify(put.error));
      durationsMs.push(performance.now() - started);
      revisions.set(section, revision + 1);
    }
  });
  const sum = (of: readonly number[]) => of.reduce((a, b) => a + b, 0);
  return {
    changeMs: sum(cpuMs.slice(0, controlPids.length)) / CHANGE_COUNT,
    entryChangeMs:
      sum(cpuMs.slice(controlPids.length)) / entryPids.length / CHANGE_COUNT,
    logBytes: (site.dataBytes() - before) / controlPids.length / CHANGE_COUNT,
    inForceMs: median(durationsMs),
  };
}
