/**
 * Measures how fast changes come into force, how fast control hosts recover,
 * and what idle processes use, with real processes; run by hand:
 * `node --import tsx packages/faults/measure.ts [rollout|recovery|idle]`.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { v7 as uuidv7 } from "uuid";
import { until } from "../demo/until.ts";
import { FaultSite, type FaultSiteOptions } from "./fault_site.ts";
import { cpuPercent, readUsage } from "./process_usage.ts";
import { exampleWriters, SectionWriter } from "./section_writer.ts";
import { VersionWatcher } from "./version_watcher.ts";

const ENTRIES = 17;
const CHANGES_PER_SECOND = 10;
const ROLLOUT_SECONDS = 20;
const RECOVERED_CHANGES = 10_000;
/** Sections that are changed concurrently, to finish sooner. */
const RECOVERED_SECTIONS = 40;
const IDLE_SECONDS = 30;
/** Delay after the start, until joins and initial transfers are over. */
const SETTLE_MS = 10_000;

type Row = readonly string[];

/** Runs an action on a new deployment and closes it afterwards. */
async function withSite<T>(
  options: FaultSiteOptions,
  run: (site: FaultSite) => Promise<T>,
): Promise<T> {
  const cleanups: (() => Promise<void>)[] = [];
  const after = (close: () => Promise<void>) => cleanups.push(close);
  try {
    return await run(await FaultSite.start({ after }, options));
  } finally {
    for (const close of cleanups) await close();
  }
}

/**
 * Measures the time from sending a change, and from its acceptance, until it is
 * in force at every entry.
 */
async function rollout(killLeader: boolean): Promise<Row> {
  const options = { entries: ENTRIES, relays: false };
  return withSite(options, async (site) => {
    const watcher = new VersionWatcher(site);
    const sectionWriters = exampleWriters(site);
    const total = ROLLOUT_SECONDS * CHANGES_PER_SECOND;
    const changes: { sent: number; accepted: number; version: number }[] = [];
    const start = performance.now();
    const leader = await site.waitForLeader();
    const writing = sectionWriters.map(async (writer, index) => {
      for (let count = index; count < total; count += sectionWriters.length) {
        const due = start + (count * 1_000) / CHANGES_PER_SECOND;
        await sleep(Math.max(0, due - performance.now()));
        const sent = performance.now();
        const { version } = (await writer.write()).accepted;
        changes.push({ sent, accepted: performance.now(), version });
      }
    });
    if (killLeader) {
      await sleep((ROLLOUT_SECONDS * 1_000) / 2);
      await site.kill(leader);
    }
    await Promise.all(writing);
    const lastVersion = Math.max(...changes.map(({ version }) => version));
    await until(() => watcher.inForceEverywhereAt(lastVersion) !== undefined, {
      what: "the last change is in force everywhere",
    });
    watcher.close();
    const delaysSince = (from: "sent" | "accepted") =>
      changes.map((change) => {
        const at = watcher.inForceEverywhereAt(change.version) ?? Number.NaN;
        return Math.max(0, at - change[from]);
      });
    const name = killLeader ? "10 changes/s, leader killed" : "10 changes/s";
    return [
      name,
      String(changes.length),
      ...medianAndMaximum(delaysSince("accepted")),
      ...medianAndMaximum(delaysSince("sent")),
    ];
  });
}

/** Median and maximum, rounded to whole numbers. */
function medianAndMaximum(values: readonly number[]): string[] {
  const sorted = [...values].sort((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
  const maximum = sorted.at(-1) ?? Number.NaN;
  return [median.toFixed(0), maximum.toFixed(0)];
}

/**
 * Measures the time from the restart of all control hosts to their responses.
 */
async function recovery(): Promise<Row[]> {
  const options = { entries: 0, relays: false };
  return withSite(options, async (site) => {
    const before = await restartControls(site);
    const sections = await addSections(site);
    const changesPerSection = RECOVERED_CHANGES / RECOVERED_SECTIONS;
    await Promise.all(
      sections.map(async (writer) => {
        for (let count = 0; count < changesPerSection; count++)
          await writer.write();
      }),
    );
    const after = await restartControls(site);
    return [
      ["0", ...before],
      [String(RECOVERED_CHANGES), ...after],
    ];
  });
}

async function addSections(site: FaultSite): Promise<SectionWriter[]> {
  const team = "allocation";
  const names = Array.from(
    { length: RECOVERED_SECTIONS },
    (_, index) => `extra-${index + 1}`,
  );
  const owners = names.map((name) => `  ${name}: ${team}\n`).join("");
  const text = `${site.processes.sectionText("system").trimEnd()}\n${owners}`;
  const change = { text, revision: 1, changeId: uuidv7() };
  const put = await site.operatorClient("system").put("system", change);
  if (put.isErr()) throw new Error(JSON.stringify(put.error));
  const [template = ""] = site.processes.sectionText("alloc").split("stops:");
  return names.map((section) => {
    const sectionText = template.replace("alloc:", `${section}:`);
    return new SectionWriter(site, {
      section,
      team,
      text: sectionText,
      revision: 0,
    });
  });
}

/**
 * Kills and restarts all control hosts; times until stale and confirmed reads.
 */
async function restartControls(site: FaultSite): Promise<string[]> {
  await Promise.all(site.controlIds.map((id) => site.kill(id)));
  const started = performance.now();
  for (const id of site.controlIds) site.restart(id);
  const [loaded, confirmed] = await Promise.all(
    ["/v1/document?stale=true", "/v1/document"].map((path) =>
      Promise.all(
        site.controlIds.map(async (id) => {
          const answers = async () =>
            (await site.requestControl(id, { path })).status === 200;
          await until(answers, { what: `${id} answers`, withinMs: 60_000 });
          return performance.now() - started;
        }),
      ),
    ),
  );
  return [
    ...medianAndMaximum(loaded ?? []),
    ...medianAndMaximum(confirmed ?? []),
  ];
}

/** Measures CPU, memory and peer traffic of idle processes. */
async function idle(): Promise<Row[]> {
  return withSite({ entries: ENTRIES }, async (site) => {
    await sleep(SETTLE_MS);
    const leader = await site.waitForLeader();
    const ids = [...site.controlIds, ...site.entryIds];
    const read = () =>
      ids.map((id) => ({
        id,
        usage: readUsage(site.processes.pid(id) ?? 0),
        bytes: site.mesh.bytes(id),
      }));
    const before = read();
    await sleep(IDLE_SECONDS * 1_000);
    const after = read();
    const used = before.map((first, index) => {
      const last = after[index] ?? first;
      const seconds = (last.usage.at - first.usage.at) / 1_000;
      return {
        id: first.id,
        cpu: cpuPercent(first.usage, last.usage),
        memory: last.usage.residentBytes / 2 ** 20,
        traffic: (last.bytes - first.bytes) / seconds / 1_000,
      };
    });
    const followers = site.controlIds.filter((id) => id !== leader);
    const row = (name: string, hosts: readonly string[]): Row => {
      const own = used.filter(({ id }) => hosts.includes(id));
      const worst = (of: (use: (typeof used)[number]) => number) =>
        Math.max(...own.map(of));
      const mean = own.reduce((sum, { cpu }) => sum + cpu, 0) / own.length;
      return [
        name,
        mean.toFixed(2),
        worst(({ cpu }) => cpu).toFixed(2),
        worst(({ memory }) => memory).toFixed(1),
        worst(({ traffic }) => traffic).toFixed(2),
      ];
    };
    return [
      row("control leader", [leader]),
      row("control follower", followers),
      row("entry", site.entryIds),
    ];
  });
}

function printTable(header: Row, rows: readonly Row[]): void {
  const widths = header.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  const line = (row: Row) =>
    row.map((cell, i) => cell.padStart(widths[i] ?? 0)).join("  ");
  console.log([header, ...rows].map(line).join("\n"), "\n");
}

const selected = process.argv.slice(2);
const isSelected = (name: string) =>
  selected.length === 0 || selected.includes(name);
if (isSelected("rollout")) {
  const header = ["in force at 17 entries (ms)", "changes"];
  const columns = ["accepted p50", "max", "sent p50", "max"];
  printTable(
    [...header, ...columns],
    [await rollout(false), await rollout(true)],
  );
}
if (isSelected("recovery")) {
  const header = ["recovery (ms) after changes", "loaded p50", "max"];
  printTable([...header, "confirmed p50", "max"], await recovery());
}
if (isSelected("idle")) {
  const header = ["idle, 17 entries", "CPU % mean", "CPU % worst"];
  printTable([...header, "MiB worst", "kB/s worst"], await idle());
}
process.exit(0);
