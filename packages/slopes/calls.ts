import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { v7 as uuidv7 } from "uuid";
import { type Address, HEADERS } from "#model";
import { exchange } from "../demo/caller.ts";
import { StandinHandle } from "../demo/standin_handle.ts";
import { until } from "../demo/until.ts";
import { makeRows } from "./configuration.ts";
import {
  cpuMsDuring,
  type MeasuredSite,
  Programs,
  residentBytes,
} from "./process_site.ts";
import type { Row } from "./report.ts";
import { dataCentreOf, makeServer, serviceName, TARGET } from "./synthetic.ts";

const ENTRY_COUNT = 3;
const SERVER_COUNT = 12;
const CALL_RATES_PER_S = [400, 1_000, 1_800];
const KEYED_CALL_RATES_PER_S = [300, 700, 1_200];
const LOAD_DURATION_S = 3;
const IN_FLIGHT_COUNTS = [500, 1_500, 3_000];
const ANNOUNCING_SERVER_COUNTS = [300, 900, 1_800];
/** Gives about as many servers per service as at the target size. */
const ANNOUNCED_SERVICE_COUNT = 200;
/** The renewal interval that entries hand out to servers. */
const RENEWAL_INTERVAL_MS = 3_000;
/** Two presence summary intervals, for fewer than 2,000 servers. */
const MEASUREMENT_MS = 4_000;

/**
 * Measures what calls and announcements cost entries that run as separate
 * processes.
 */
export async function measureCalls(): Promise<Row[]> {
  const programs = await Programs.build();
  try {
    return [
      ...(await measureAnnouncements(programs)),
      ...(await measureCallLoad(programs)),
      ...(await measureInFlightCalls(programs)),
    ];
  } finally {
    programs.remove();
  }
}

async function measureAnnouncements(programs: Programs): Promise<Row[]> {
  const size = { entries: ENTRY_COUNT, services: ANNOUNCED_SERVICE_COUNT };
  const site = await programs.startSite(size);
  const announcementLoad = new AnnouncementLoad(site.processes.seeds);
  try {
    announcementLoad.serverCount = ANNOUNCING_SERVER_COUNTS[0] ?? 0;
    // Warm-up: until the JIT has compiled the code, a renewal takes twice as
    // long.
    await sleep(RENEWAL_INTERVAL_MS);
    const figures = [];
    for (const count of ANNOUNCING_SERVER_COUNTS) {
      announcementLoad.serverCount = count;
      await sleep(RENEWAL_INTERVAL_MS * 1.2);
      const sentBefore = await site.sentBytes();
      const cpuMs = await cpuMsDuring(site.entryPids, () =>
        sleep(MEASUREMENT_MS),
      );
      const bytes = (await site.sentBytes()) - sentBefore;
      const seconds = MEASUREMENT_MS / 1_000;
      const heaps = await Promise.all(
        site.entryPids.map((p) => site.heapBytes(p)),
      );
      figures.push({
        size: count,
        ms: sum(cpuMs) / seconds,
        bytes: bytes / ENTRY_COUNT / seconds,
        heap: sum(heaps) / ENTRY_COUNT,
      });
    }
    if (announcementLoad.failed > 0) {
      throw new Error(`${announcementLoad.failed} announcements failed`);
    }
    return makeRows(figures, {
      per: `servers that renew every 3 s, ${ENTRY_COUNT} entries`,
      target: TARGET.servers,
    })([
      ["renewals: CPU of all entries", "ms/s", (f) => f.ms],
      ["renewals: sent to peers by an entry", "bytes/s", (f) => f.bytes],
      ["renewals: heap of an entry", "bytes", (f) => f.heap],
    ]);
  } finally {
    announcementLoad.stop();
    await site.close();
  }
}

/**
 * Renews the announcements of `serverCount` servers at the entries, evenly
 * spread over the renewal interval.
 */
class AnnouncementLoad {
  serverCount = 0;
  failed = 0;
  readonly #entries: readonly Address[];
  readonly #agent = new Agent({ keepAlive: true });
  readonly #timer: NodeJS.Timeout;
  #nextRenewal = 0;
  #dueRenewals = 0;

  constructor(entries: readonly Address[]) {
    this.#entries = entries;
    this.#timer = setInterval(() => this.#sendDueRenewals(), 20);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#agent.destroy();
  }

  #sendDueRenewals(): void {
    this.#dueRenewals += (this.serverCount * 20) / RENEWAL_INTERVAL_MS;
    for (; this.#dueRenewals >= 1; this.#dueRenewals--)
      this.#renew(this.#nextRenewal++);
  }

  #renew(renewalIndex: number): void {
    const index = renewalIndex % this.serverCount;
    const server = makeServer(index);
    const entry = this.#entries[index % this.#entries.length];
    if (!entry) return;
    const body = {
      service: serviceName(index % ANNOUNCED_SERVICE_COUNT),
      ...server.address,
      data_centre: server.dataCentre,
      incarnation: server.incarnation,
      sequence: renewalIndex + 1,
      state: server.state,
      slots: server.slots,
      connections: server.connections,
      // The reported load changes with each renewal, as with real servers.
      in_flight: renewalIndex % (server.slots + 1),
      started_ms_ago: server.startedMsAgo,
    };
    exchange({
      ...entry,
      agent: this.#agent,
      method: "PUT",
      path: `/.mangobank/servers/${server.id}`,
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
    }).then(
      ({ status }) => {
        if (status !== 200) this.failed++;
      },
      () => {
        this.failed++;
      },
    );
  }
}

interface SiteWithStandins {
  readonly site: MeasuredSite;
  readonly standins: StandinHandle;
}

async function startSiteWithStandins(
  programs: Programs,
  options: { slots: number; serviceMs: number },
): Promise<SiteWithStandins> {
  const site = await programs.startSite({ entries: ENTRY_COUNT, services: 20 });
  const standins = new StandinHandle(programs.standin, {
    service: serviceName(0),
    dataCentres: [dataCentreOf(0)],
    count: SERVER_COUNT,
    connections: 10_000,
    entries: site.processes.seeds,
    ...options,
  });
  await standins.start();
  const operator = site.processes.operator("system");
  await until(
    async () => {
      const read = await operator.read(["servers"]);
      if (read.isErr()) return false;
      return (
        (read.value as { servers: unknown[] }).servers.length === SERVER_COUNT
      );
    },
    { what: "all stand-in servers are registered" },
  );
  return { site, standins };
}

async function measureCallLoad(programs: Programs): Promise<Row[]> {
  const { site, standins } = await startSiteWithStandins(programs, {
    slots: 6,
    serviceMs: 1,
  });
  try {
    // Warm-up: until the JIT has compiled the code, a call takes twice as long.
    await generateLoad(site, { rate: 1_200, keyed: false });
    await generateLoad(site, { rate: 1_000, keyed: true });
    const rows: Row[] = [];
    for (const keyed of [false, true]) {
      const figures = [];
      for (const rate of keyed ? KEYED_CALL_RATES_PER_S : CALL_RATES_PER_S) {
        figures.push({
          size: rate,
          ...(await generateLoad(site, { rate, keyed })),
        });
      }
      const name = keyed ? "keyed calls" : "calls";
      rows.push(
        ...makeRows(figures, {
          per: `calls/s over ${ENTRY_COUNT} entries`,
          target: TARGET.callsPerS,
        })([
          [`${name}: CPU of all entries`, "ms/s", (f) => f.ms],
          [`${name}: sent to peers by all entries`, "bytes/s", (f) => f.bytes],
          [`${name}: not answered with 200`, "calls", (f) => f.failed],
        ]),
      );
    }
    return rows;
  } finally {
    standins.close();
    await site.close();
  }
}

async function generateLoad(
  site: MeasuredSite,
  { rate, keyed }: { rate: number; keyed: boolean },
) {
  const agent = new Agent({ keepAlive: true });
  const { seeds } = site.processes;
  const sentBefore = await site.sentBytes();
  let failed = 0;
  const cpuMs = await cpuMsDuring(site.entryPids, async () => {
    const pending: Promise<unknown>[] = [];
    const started = performance.now();
    for (let i = 0; i < rate * LOAD_DURATION_S; i++) {
      const wait = started + (i * 1_000) / rate - performance.now();
      if (wait > 1) await sleep(wait);
      const entry = seeds[i % seeds.length];
      if (!entry) continue;
      pending.push(
        sendCall(entry, { agent, keyed }).then((status) => {
          if (status !== 200) failed++;
        }),
      );
    }
    await Promise.all(pending);
  });
  agent.destroy();
  const bytes = (await site.sentBytes()) - sentBefore;
  return {
    ms: sum(cpuMs) / LOAD_DURATION_S,
    bytes: bytes / LOAD_DURATION_S,
    failed,
  };
}

function sendCall(
  entry: Address,
  { agent, keyed }: { agent: Agent; keyed: boolean },
): Promise<number> {
  const headers = {
    [HEADERS.service]: serviceName(0),
    ...(keyed && { [HEADERS.key]: uuidv7() }),
  };
  const request = keyed
    ? { method: "POST", path: "/bookings", body: '{"grant":7}' }
    : { method: "GET", path: "/timesheets/7" };
  return exchange({ ...entry, agent, headers, ...request }).then(
    ({ status }) => status,
    () => 0,
  );
}

/**
 * Measures the memory of one entry while calls are in flight that the servers
 * never answer.
 */
async function measureInFlightCalls(programs: Programs): Promise<Row[]> {
  const { site, standins } = await startSiteWithStandins(programs, {
    slots: 1_000,
    serviceMs: 1e8,
  });
  const agent = new Agent({ keepAlive: true });
  try {
    const [entry] = site.processes.seeds;
    const [pid] = site.entryPids;
    if (!entry || !pid) throw new Error("the site has no entry");
    const figures = [];
    let started = 0;
    let ended = 0;
    for (const size of IN_FLIGHT_COUNTS) {
      for (; started < size; started++) {
        void sendCall(entry, { agent, keyed: false }).then(() => {
          ended++;
        });
        if (started % 50 === 0) await sleep(10);
      }
      await sleep(1_000);
      const heap = await site.heapBytes(pid);
      figures.push({ size, heap, rss: residentBytes(pid) });
      if (ended > 0)
        throw new Error(`${ended} calls ended before the measurement`);
    }
    return makeRows(figures, { per: "calls in flight", target: 5_000 })([
      ["calls in flight: heap of an entry", "bytes", (f) => f.heap],
      ["calls in flight: resident memory", "bytes", (f) => f.rss],
    ]);
  } finally {
    agent.destroy();
    standins.close();
    await site.close();
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((runningTotal, value) => runningTotal + value, 0);
}
