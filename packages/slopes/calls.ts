import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { v7 as uuidv7 } from "uuid";
import { type Address, HEADERS } from "#model";
import { exchange } from "../demo/caller.ts";
import { StandinHandle } from "../demo/standin_handle.ts";
import { until } from "../demo/until.ts";
import { rowsOf } from "./configuration.ts";
import {
  cpuDuring,
  type ProcessSite,
  Programs,
  residentBytes,
} from "./process_site.ts";
import type { Row } from "./report.ts";
import { dataCentreOf, makeServer, serviceName, TARGET } from "./synthetic.ts";

const ENTRIES = 3;
const SERVERS = 12;
const RATES = [400, 1_000, 1_800];
const KEYED_RATES = [300, 700, 1_200];
const CALLS_S = 3;
const IN_FLIGHT = [500, 1_500, 3_000];
const ANNOUNCING = [300, 900, 1_800];
/** As many servers of a service as at the target, about. */
const ANNOUNCED_SERVICES = 200;
/** As servers are told. */
const RENEW_MS = 3_000;
/** Two intervals of summaries with fewer than 2,000 servers. */
const MEASURED_MS = 4_000;

/** What calls and announcements cost entries as real processes. */
export async function calls(): Promise<Row[]> {
  const programs = await Programs.build();
  try {
    return [
      ...(await announcements(programs)),
      ...(await callRows(programs)),
      ...(await inFlight(programs)),
    ];
  } finally {
    programs.remove();
  }
}

async function announcements(programs: Programs): Promise<Row[]> {
  const size = { entries: ENTRIES, services: ANNOUNCED_SERVICES };
  const site = await programs.site(size);
  const announcing = new Announcing(site.processes.seeds);
  try {
    announcing.count = ANNOUNCING[0] ?? 0;
    // Until the code is compiled, a renewal takes twice the time.
    await sleep(RENEW_MS);
    const figures = [];
    for (const count of ANNOUNCING) {
      announcing.count = count;
      await sleep(RENEW_MS * 1.2);
      const sent = await site.sentBytes();
      const used = await cpuDuring(site.entries, () => sleep(MEASURED_MS));
      const bytes = (await site.sentBytes()) - sent;
      const seconds = MEASURED_MS / 1_000;
      const heaps = await Promise.all(site.entries.map((p) => site.heap(p)));
      figures.push({
        size: count,
        ms: total(used) / seconds,
        bytes: bytes / ENTRIES / seconds,
        heap: total(heaps) / ENTRIES,
      });
    }
    if (announcing.failed > 0) {
      throw new Error(`${announcing.failed} announcements failed`);
    }
    return rowsOf(figures, {
      per: `servers that renew every 3 s, ${ENTRIES} entries`,
      target: TARGET.servers,
    })([
      ["renewals: CPU of all entries", "ms/s", (f) => f.ms],
      ["renewals: sent to peers by an entry", "bytes/s", (f) => f.bytes],
      ["renewals: heap of an entry", "bytes", (f) => f.heap],
    ]);
  } finally {
    announcing.stop();
    await site.close();
  }
}

/** Renews servers at the entries, evenly over time. */
class Announcing {
  count = 0;
  failed = 0;
  readonly #entries: readonly Address[];
  readonly #agent = new Agent({ keepAlive: true });
  readonly #timer: NodeJS.Timeout;
  #next = 0;
  #due = 0;

  constructor(entries: readonly Address[]) {
    this.#entries = entries;
    this.#timer = setInterval(() => this.#step(), 20);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#agent.destroy();
  }

  #step(): void {
    this.#due += (this.count * 20) / RENEW_MS;
    for (; this.#due >= 1; this.#due--) this.#renew(this.#next++);
  }

  #renew(number: number): void {
    const index = number % this.count;
    const server = makeServer(index);
    const entry = this.#entries[index % this.#entries.length];
    if (!entry) return;
    const body = {
      service: serviceName(index % ANNOUNCED_SERVICES),
      ...server.address,
      data_centre: server.dataCentre,
      incarnation: server.incarnation,
      sequence: number + 1,
      state: server.state,
      slots: server.slots,
      connections: server.connections,
      // The load differs at each renewal, as with real servers.
      in_flight: number % (server.slots + 1),
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

interface Backend {
  readonly site: ProcessSite;
  readonly standins: StandinHandle;
}

async function startBackend(
  programs: Programs,
  options: { slots: number; serviceMs: number },
): Promise<Backend> {
  const site = await programs.site({ entries: ENTRIES, services: 20 });
  const standins = new StandinHandle(programs.standin, {
    service: serviceName(0),
    dataCentres: [dataCentreOf(0)],
    count: SERVERS,
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
      return (read.value as { servers: unknown[] }).servers.length === SERVERS;
    },
    { what: "the stand-ins are known" },
  );
  return { site, standins };
}

async function callRows(programs: Programs): Promise<Row[]> {
  const { site, standins } = await startBackend(programs, {
    slots: 6,
    serviceMs: 1,
  });
  try {
    // Until the code is compiled, a call takes twice the time.
    await load(site, { rate: 1_200, keyed: false });
    await load(site, { rate: 1_000, keyed: true });
    const rows: Row[] = [];
    for (const keyed of [false, true]) {
      const figures = [];
      for (const rate of keyed ? KEYED_RATES : RATES) {
        figures.push({ size: rate, ...(await load(site, { rate, keyed })) });
      }
      const name = keyed ? "keyed calls" : "calls";
      rows.push(
        ...rowsOf(figures, {
          per: `calls/s over ${ENTRIES} entries`,
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

async function load(
  site: ProcessSite,
  { rate, keyed }: { rate: number; keyed: boolean },
) {
  const agent = new Agent({ keepAlive: true });
  const { seeds } = site.processes;
  const sent = await site.sentBytes();
  let failed = 0;
  const used = await cpuDuring(site.entries, async () => {
    const pending: Promise<unknown>[] = [];
    const started = performance.now();
    for (let i = 0; i < rate * CALLS_S; i++) {
      const wait = started + (i * 1_000) / rate - performance.now();
      if (wait > 1) await sleep(wait);
      const entry = seeds[i % seeds.length];
      if (!entry) continue;
      pending.push(
        call(entry, { agent, keyed }).then((status) => {
          if (status !== 200) failed++;
        }),
      );
    }
    await Promise.all(pending);
  });
  agent.destroy();
  const bytes = (await site.sentBytes()) - sent;
  return { ms: total(used) / CALLS_S, bytes: bytes / CALLS_S, failed };
}

function call(
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

/** Calls that stay at the servers, all through one entry. */
async function inFlight(programs: Programs): Promise<Row[]> {
  const { site, standins } = await startBackend(programs, {
    slots: 1_000,
    serviceMs: 1e8,
  });
  const agent = new Agent({ keepAlive: true });
  try {
    const [entry] = site.processes.seeds;
    const [pid] = site.entries;
    if (!entry || !pid) throw new Error("the site has no entry");
    const figures = [];
    let started = 0;
    let ended = 0;
    for (const size of IN_FLIGHT) {
      for (; started < size; started++) {
        void call(entry, { agent, keyed: false }).then(() => {
          ended++;
        });
        if (started % 50 === 0) await sleep(10);
      }
      await sleep(1_000);
      const heap = await site.heap(pid);
      figures.push({ size, heap, rss: residentBytes(pid) });
      if (ended > 0) throw new Error(`${ended} calls have ended`);
    }
    return rowsOf(figures, { per: "calls in flight", target: 5_000 })([
      ["calls in flight: heap of an entry", "bytes", (f) => f.heap],
      ["calls in flight: resident memory", "bytes", (f) => f.rss],
    ]);
  } finally {
    agent.destroy();
    standins.close();
    await site.close();
  }
}

function total(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
