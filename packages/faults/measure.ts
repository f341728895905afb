/**
 * Measures the shared state with real processes; run by hand:
 * `node --import tsx packages/faults/measure.ts [rollout|recovery|idle]`.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { v7 as uuidv7 } from "uuid";
import { until } from "../demo/until.ts";
import { FaultSite, type FaultSiteOptions } from "./fault_site.ts";
import { cpuPercent, readUsage } from "./process_usage.ts";
import { SectionWriter, writers } from "./section_writer.ts";
import { VersionWatch } from "./version_watch.ts";

const ENTRIES = 17;
const CHANGES_PER_SECOND = 10;
const ROLLOUT_SECONDS = 20;
const RECOVERED_CHANGES = 10_000;
/** Sections that change side by side, so that the changes take less time. */
const RECOVERED_SECTIONS = 40;
const IDLE_SECONDS = 30;
/** After the start, until joins and first transfers are over. */
const SETTLE_MS = 10_000;

type Row = readonly string[];

async function withSite<T>(
  options: FaultSiteOptions,
  run: (site: FaultSite) => Promise<T>,
): Promise<T> {
  const closers: (() => Promise<void>)[] = [];
  const after = (close: () => Promise<void>) => closers.push(close);
  try {
    return await run(await FaultSite.start({ after }, options));
  } finally {
    for (const close of closers) await close();
  }
}

/** Time from sent and from accepted to in force at every entry. */
async function rollout(kill: boolean): Promise<Row> {
  const options = { entries: ENTRIES, relays: false };
  return withSite(options, async (site) => {
    const watch = new VersionWatch(site);
    const both = writers(site);
    const total = ROLLOUT_SECONDS * CHANGES_PER_SECOND;
    const changes: { sent: number; accepted: number; version: number }[] = [];
    const start = performance.now();
    const leader = await site.leader();
    const work = both.map(async (writer, index) => {
      for (let count = index; count < total; count += both.length) {
        const due = start + (count * 1_000) / CHANGES_PER_SECOND;
        await sleep(Math.max(0, due - performance.now()));
        const sent = performance.now();
        const { version } = (await writer.write()).accepted;
        changes.push({ sent, accepted: performance.now(), version });
      }
    });
    if (kill) {
      await sleep((ROLLOUT_SECONDS * 1_000) / 2);
      await site.kill(leader);
    }
    await Promise.all(work);
    const last = Math.max(...changes.map(({ version }) => version));
    await until(() => watch.everywhere(last) !== undefined, {
      what: "the last change is in force everywhere",
    });
    watch.close();
    const of = (from: "sent" | "accepted") =>
      changes.map((change) => {
        const at = watch.everywhere(change.version) ?? Number.NaN;
        return Math.max(0, at - change[from]);
      });
    const name = kill ? "10 changes/s, leader killed" : "10 changes/s";
    return [
      name,
      String(changes.length),
      ...summary(of("accepted")),
      ...summary(of("sent")),
    ];
  });
}

function summary(values: readonly number[]): string[] {
  const sorted = [...values].sort((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
  const maximum = sorted.at(-1) ?? Number.NaN;
  return [median.toFixed(0), maximum.toFixed(0)];
}

/** Time from the start of killed control hosts to their first answers. */
async function recovery(): Promise<Row[]> {
  const options = { entries: 0, relays: false };
  return withSite(options, async (site) => {
    const before = await restartAll(site);
    const sections = await addSections(site);
    const each = RECOVERED_CHANGES / RECOVERED_SECTIONS;
    await Promise.all(
      sections.map(async (writer) => {
        for (let count = 0; count < each; count++) await writer.write();
      }),
    );
    const after = await restartAll(site);
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
  const put = await site.operator("system").put("system", change);
  if (put.isErr()) throw new Error(JSON.stringify(put.error));
  const [template = ""] = site.processes.sectionText("alloc").split("stops:");
  return names.map((section) => {
    const own = template.replace("alloc:", `${section}:`);
    return new SectionWriter(site, { section, team, text: own, revision: 0 });
  });
}

async function restartAll(site: FaultSite): Promise<string[]> {
  await Promise.all(site.controlIds.map((id) => site.kill(id)));
  const started = performance.now();
  for (const id of site.controlIds) site.restart(id);
  const [loaded, confirmed] = await Promise.all(
    ["/v1/document?stale=true", "/v1/document"].map((path) =>
      Promise.all(
        site.controlIds.map(async (id) => {
          const answers = async () =>
            (await site.ask(id, { path })).status === 200;
          await until(answers, { what: `${id} answers`, withinMs: 60_000 });
          return performance.now() - started;
        }),
      ),
    ),
  );
  return [...summary(loaded ?? []), ...summary(confirmed ?? [])];
}

/** What processes use that have nothing to do. */
async function idle(): Promise<Row[]> {
  return withSite({ entries: ENTRIES }, async (site) => {
    await sleep(SETTLE_MS);
    const leader = await site.leader();
    const ids = [...site.controlIds, ...site.entryIds];
    const read = () =>
      ids.map((id) => ({
        id,
        usage: readUsage(site.processes.pid(id) ?? 0),
        bytes: site.mesh.bytes(id),
      }));
    const from = read();
    await sleep(IDLE_SECONDS * 1_000);
    const to = read();
    const used = from.map((first, index) => {
      const last = to[index] ?? first;
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

function print(head: Row, rows: readonly Row[]): void {
  const widths = head.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  const line = (row: Row) =>
    row.map((cell, i) => cell.padStart(widths[i] ?? 0)).join("  ");
  console.log([head, ...rows].map(line).join("\n"), "\n");
}

const wanted = process.argv.slice(2);
const isWanted = (name: string) => wanted.length === 0 || wanted.includes(name);
if (isWanted("rollout")) {
  const head = ["in force at 17 entries (ms)", "changes"];
  const columns = ["accepted p50", "max", "sent p50", "max"];
  print([...head, ...columns], [await rollout(false), await rollout(true)]);
}
if (isWanted("recovery")) {
  const head = ["recovery (ms) after changes", "loaded p50", "max"];
  print([...head, "confirmed p50", "max"], await recovery());
}
if (isWanted("idle")) {
  const head = ["idle, 17 entries", "CPU % mean", "CPU % worst"];
  print([...head, "MiB worst", "kB/s worst"], await idle());
}
process.exit(0);
