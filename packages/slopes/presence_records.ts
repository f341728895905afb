import { SeededRandomness } from "#model";
import {
  Presence,
  type PresenceEffect,
  type PresenceMessage,
  type PresenceSend,
  parseAnnouncement,
} from "#presence";
import { cpuOf, cpuUs, heapOf, median } from "./measure.ts";
import type { Row } from "./report.ts";
import {
  dataCentreOf,
  entryId,
  INCARNATION,
  makeServer,
  makeView,
  serviceName,
  TARGET,
} from "./synthetic.ts";
import { passed } from "./wire_size.ts";

const SIZES = [1_000, 2_000, 4_000, 8_600];

const SERVICES = Array.from({ length: TARGET.services }, (_, index) =>
  serviceName(index),
);

export function sends(effects: readonly PresenceEffect[]): PresenceSend[] {
  return effects.filter((effect) => effect.type === "send");
}

function startEntry(index: number): Presence {
  const presence = new Presence({
    id: entryId(index),
    incarnation: INCARNATION,
    dataCentre: dataCentreOf(index),
    randomness: new SeededRandomness(index + 1),
  });
  const [self] = makeView(index + 1).entries.slice(-1);
  const entries = self ? [self] : [];
  const view = { epoch: 1, entries, began: 0 };
  presence.configure({ services: SERVICES, view }, 0);
  return presence;
}

/** An entry that all servers announce themselves to, and one that follows. */
class Pair {
  readonly owner = startEntry(0);
  readonly follower = startEntry(1);
  readonly ownBytes: number;
  readonly replicaBytes: number;
  readonly putBytes: number;
  now = 0;

  constructor(size: number) {
    this.owner.peerUp(entryId(1), 0);
    this.follower.peerUp(entryId(0), 0);
    this.ownBytes = heapOf(() => {
      for (let i = 0; i < size; i++) {
        this.owner.announce({ ...makeServer(i) }, 0);
      }
    }).bytes;
    const messages = sends(this.tick(250))
      .filter(({ kind }) => kind === "presence_changes")
      .map((send) => passed(send.kind, send.payload));
    this.putBytes = messages.reduce((sum, { bytes }) => sum + bytes, 0);
    this.replicaBytes = heapOf(() => {
      for (const { payload } of messages.splice(0)) {
        const kind = "presence_changes";
        this.receive({ kind, payload } as PresenceMessage);
      }
    }).bytes;
  }

  tick(ms: number): PresenceEffect[] {
    this.now += ms;
    return this.owner.tick(this.now);
  }

  /** Makes the owner send a summary at once; returns its bytes. */
  summarise(): number {
    this.owner.reportLoad({ load: 10, stopping: false }, this.now);
    const told = this.owner.reportLoad({ load: 10, stopping: true }, this.now);
    return this.deliver(sends(told));
  }

  receive(message: PresenceMessage): void {
    this.follower.receive(entryId(0), message, this.now);
  }

  /** Passes messages on; returns their bytes. */
  deliver(messages: readonly PresenceSend[]): number {
    let sum = 0;
    for (const { kind, payload } of messages) {
      const { bytes, payload: read } = passed(kind, payload);
      sum += bytes;
      this.receive({ kind, payload: read } as PresenceMessage);
    }
    return sum;
  }
}

/** Memory, bytes and processor time of backend servers' records. */
export function presenceRecords(): Row[] {
  // Compiles the code, which else counts against the first size.
  measure(500);
  // First, as garbage of the timed parts would count against the heap.
  const heaps = SIZES.map((size) => ({ size, ...heapsOf(size) }));
  const figures = SIZES.map((size) => ({ size, ...measure(size) }));
  const heap = (
    quantity: string,
    value: (figure: (typeof heaps)[number]) => number,
  ): Row => ({
    quantity,
    unit: "bytes",
    per: "servers",
    points: heaps.map((f) => ({ size: f.size, value: value(f) })),
    target: TARGET.servers,
  });
  const row = (
    quantity: string,
    unit: string,
    value: (figure: (typeof figures)[number]) => number,
  ): Row => ({
    quantity,
    unit,
    per: "servers",
    points: figures.map((f) => ({ size: f.size, value: value(f) })),
    target: TARGET.servers,
  });
  return [
    heap("heap, servers that announce here", (f) => f.own),
    heap("heap, servers that announce elsewhere", (f) => f.replicas),
    row("changes message, all servers new", "bytes", (f) => f.putBytes),
    row("changes message, one server changes", "bytes", (f) => f.deltaBytes),
    row(
      "CPU, two deltas in one message, sent and received",
      "us",
      (f) => f.deltaUs,
    ),
    row("summary of one list", "bytes", (f) => f.summaryBytes),
    row("CPU, summary sent and received", "us", (f) => f.summaryUs),
    row("CPU, renewal accepted (no HTTP)", "us", (f) => f.renewUs),
    row("CPU, tick with expiry scan", "us", (f) => f.scanUs),
  ];
}

function measure(size: number) {
  const pair = new Pair(size);
  const flip = { ...makeServer(1, 2), state: "unhealthy" } as const;
  const flipped = pair.owner.announce(flip, pair.now);
  const told = [...flipped.effects, ...pair.tick(250)];
  const deltaBytes = pair.deliver(
    sends(told).filter(({ kind }) => kind === "presence_changes"),
  );
  return {
    putBytes: pair.putBytes,
    deltaBytes,
    deltaUs: deltaUs(pair),
    renewUs: renewUs(pair),
    ...summary(pair),
    scanUs: scanUs(pair, size),
  };
}

function heapsOf(size: number) {
  const { ownBytes: own, replicaBytes: replicas } = new Pair(size);
  return { own, replicas };
}

/** A server's start and its leave: two operations in one message. */
function deltaUs(pair: Pair): number {
  let { incarnation } = makeServer(0);
  return cpuOf(() => {
    incarnation++;
    const { owner, now } = pair;
    const server = { ...makeServer(0), incarnation };
    const started = owner.announce(server, now);
    const left = owner.leave(server, now);
    pair.deliver(sends([...started.effects, ...left.effects]));
  });
}

function renewUs(pair: Pair): number {
  let sequence = 1;
  return cpuOf(() => {
    sequence++;
    const server = makeServer(2, sequence);
    const body = {
      service: server.service,
      ...server.address,
      data_centre: server.dataCentre,
      incarnation: server.incarnation,
      sequence,
      state: server.state,
      slots: server.slots,
      connections: server.connections,
      in_flight: server.inFlight,
      started_ms_ago: server.startedMsAgo,
    };
    const parsed = parseAnnouncement(server.id, body);
    if (parsed.isOk()) pair.owner.announce(parsed.value, pair.now);
  });
}

function summary(pair: Pair) {
  let summaryBytes = 0;
  const summaryUs = cpuOf(() => {
    summaryBytes = pair.summarise();
  });
  return { summaryBytes, summaryUs };
}

const SCANS = 24;

function scanUs(pair: Pair, size: number): number {
  const rounds = [1, 2, 3, 4, 5].map((round) => {
    for (let i = 0; i < size; i++) {
      pair.owner.announce(makeServer(i, 1_000_000 + round), pair.now);
    }
    pair.summarise();
    const start = process.cpuUsage();
    for (let scan = 0; scan < SCANS; scan++) {
      pair.now += 250;
      pair.follower.tick(pair.now);
    }
    return cpuUs(start) / SCANS;
  });
  const left = pair.follower.servers(serviceName(3), pair.now).length;
  if (left === 0) throw new Error("the leases ended before the scan");
  return median(rounds);
}
