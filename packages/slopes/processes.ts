import { setTimeout as sleep } from "node:timers/promises";
import { v4 as uuid } from "uuid";
import { rowsOf } from "./configuration.ts";
import { median } from "./measure.ts";
import {
  cpuDuring,
  type ProcessSite,
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

const ENTRIES = [3, 12, 36];
const MORE_SERVICES = [200, 860];
const FEW_SERVICES = 20;
const FEW_ENTRIES = 3;
/** Heartbeats and summaries come every 1 to 3 s. */
const IDLE_MS = 4_000;
const SETTLE_MS = 1_500;
const CHANGES = 8;

/** Processor time and memory of whole processes, idle and under changes. */
export async function processes(): Promise<Row[]> {
  const programs = await Programs.build();
  try {
    const byEntries: Sized[] = [];
    for (const entries of ENTRIES) {
      const size = { entries, services: FEW_SERVICES };
      byEntries.push({ size: entries, ...(await measure(programs, size)) });
    }
    // The smallest site is the same in both series.
    const byServices = byEntries
      .slice(0, 1)
      .map((figures) => ({ ...figures, size: FEW_SERVICES }));
    for (const services of MORE_SERVICES) {
      const size = { entries: FEW_ENTRIES, services };
      byServices.push({ size: services, ...(await measure(programs, size)) });
    }
    return [
      ...rowsOf(byEntries, {
        per: `entries, ${FEW_SERVICES} services, 3 control hosts`,
        target: TARGET_ENTRIES,
      })(CHOICES),
      ...rowsOf(byServices, {
        per: `services, ${FEW_ENTRIES} entries, 3 control hosts`,
        target: TARGET.services,
      })(CHOICES),
    ];
  } finally {
    programs.remove();
  }
}

type Figures = Awaited<ReturnType<typeof measure>>;
type Sized = Figures & { readonly size: number };

const CHOICES = [
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

async function measure(programs: Programs, size: SiteSize) {
  const site = await programs.site(size);
  try {
    await sleep(SETTLE_MS);
    const { controls, entries } = site;
    const sentBefore = await site.sentBytes();
    const used = await cpuDuring([...controls, ...entries], () =>
      sleep(IDLE_MS),
    );
    const sent = (await site.sentBytes()) - sentBefore;
    const seconds = IDLE_MS / 1_000;
    const controlUsed = used.slice(0, controls.length);
    const entryUsed = used.slice(controls.length);
    const changes = await changeSections(site, size);
    const mean = (of: readonly number[]) =>
      of.reduce((sum, value) => sum + value, 0) / of.length;
    const heaps = (pids: readonly number[]) =>
      Promise.all(pids.slice(0, 3).map((pid) => site.heap(pid)));
    return {
      busiestMs: Math.max(...controlUsed) / seconds,
      controlMs: mean(controlUsed) / seconds,
      controlRss: mean(controls.map(residentBytes)),
      entryMs: mean(entryUsed) / seconds,
      entryBytes: sent / entries.length / seconds,
      entryRss: mean(entries.map(residentBytes)),
      ...changes,
      controlHeap: mean(await heaps(controls)),
      entryHeap: mean(await heaps(entries)),
    };
  } finally {
    await site.close();
  }
}

/** Changes one service in each of several puts. */
async function changeSections(site: ProcessSite, { services }: SiteSize) {
  const { controls, entries, processes } = site;
  const operator = processes.operator("team");
  const count = Math.ceil(services / SERVICES_PER_SECTION);
  const revisions = new Map<number, number>();
  const took: number[] = [];
  const before = site.dataBytes();
  const used = await cpuDuring([...controls, ...entries], async () => {
    for (let i = 0; i < CHANGES; i++) {
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
      took.push(performance.now() - started);
      revisions.set(section, revision + 1);
    }
  });
  const sum = (of: readonly number[]) => of.reduce((a, b) => a + b, 0);
  return {
    changeMs: sum(used.slice(0, controls.length)) / CHANGES,
    entryChangeMs: sum(used.slice(controls.length)) / entries.length / CHANGES,
    logBytes: (site.dataBytes() - before) / controls.length / CHANGES,
    inForceMs: median(took),
  };
}
