import { SeededRandomness } from "#model";
import {
  Presence,
  type PresenceEffect,
  type PresenceMessage,
  type PresenceSend,
  parseAnnouncement,
} from "#presence";
import { cpuUs, measureHeap, median, medianCpuUs } from "./measure.ts";
import type { Row } from "./report.ts";
import {
  dataCentreOf,
  entryId,
  FIRST_INCARNATION,
  makeServer,
  makeView,
  serviceName,
  TARGET,
} from "./synthetic.ts";
import { encodeAndDecode } from "./wire_size.ts";

const SERVER_COUNTS = [1_000, 2_000, 4_000, 8_600];

const SERVICE_NAMES = Array.from({ length: TARGET.services }, (_, index) =>
  serviceName(index),
);

export function sendEffects(
  effects: readonly PresenceEffect[],
): PresenceSend[] {
  return effects.filter((effect) => effect.type === "send");
}

function startPresence(index: number): Presence {
  const presence = new Presence({
    id: entryId(index),
    incarnation: FIRST_INCARNATION,
    dataCentre: dataCentreOf(index),
    randomness: new SeededRandomness(index + 1),
  });
  const [self] = makeView(index + 1).entries.slice(-1);
  const entries = self ? [self] : [];
  const view = { epoch: 1, entries, began: 0 };
  presence.configure({ services: SERVICE_NAMES, view }, 0);
  return presence;
}

/**
 * Two entries: all servers announce themselves to the owner, which replicates
 * their records to the follower.
 */
class PresencePair {
  readonly owner = startPresence(0);
  readonly follower = startPresence(1);
  readonly ownerHeapBytes: number;
  readonly followerHeapBytes: number;
  readonly newServersBytes: number;
  now = 0;

  constructor(size: number) {
    this.owner.peerUp(entryId(1), 0);
    this.follower.peerUp(entryId(0), 0);
    this.ownerHeapBytes = measureHeap(() => {
      for (let i = 0; i < size; i++) {
        this.owner.announce({ ...makeServer(i) }, 0);
      }
    }).bytes;
    const messages = sendEffects(this.tick(250))
      .filter(({ kind }) => kind === "presence_changes")
      .map((send) => encodeAndDecode(send.kind, send.payload));
    this.newServersBytes = messages.reduce((sum, { bytes }) => sum + bytes, 0);
    this.followerHeapBytes = measureHeap(() => {
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

  /** Makes the owner send a summary at once; returns its size in bytes. */
  sendSummary(): number {
    this.owner.reportLoad({ load: 10, stopping: false }, this.now);
    const effects = this.owner.reportLoad(
      { load: 10, stopping: true },
      this.now,
    );
    return this.deliver(sendEffects(effects));
  }

  receive(message: PresenceMessage): void {
    this.follower.receive(entryId(0), message, this.now);
  }

  /** Delivers messages to the follower; returns their size in bytes. */
  deliver(messages: readonly PresenceSend[]): number {
    let sum = 0;
    for (const { kind, payload } of messages) {
      const { bytes, payload: read } = encodeAndDecode(kind, payload);
      sum += bytes;
      this.receive({ kind, payload: read } as PresenceMessage);
    }
    return sum;
  }
}

/** Measures memory, message sizes and CPU time of backend servers' records. */
export function measurePresenceRecords(): Row[] {
  // Warm-up: otherwise JIT compilation counts towards the first size.
  measure(500);
  // Heaps come first: garbage of the timed parts would count towards them.
  const heaps = SERVER_COUNTS.map((size) => ({ size, ...measureHeaps(size) }));
  const figures = SERVER_COUNTS.map((size) => ({ size, ...measure(size) }));
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
    heap("heap, servers that announce here", (f) => f.owner),
    heap("heap, servers that announce elsewhere", (f) => f.follower),
    row("changes message, all servers new", "bytes", (f) => f.newServersBytes),
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
  const pair = new PresencePair(size);
  const changedServer = { ...makeServer(1, 2), state: "unhealthy" } as const;
  const announced = pair.owner.announce(changedServer, pair.now);
  const effects = [...announced.effects, ...pair.tick(250)];
  const deltaBytes = pair.deliver(
    sendEffects(effects).filter(({ kind }) => kind === "presence_changes"),
  );
  return {
    newServersBytes: pair.newServersBytes,
    deltaBytes,
    deltaUs: deltaUs(pair),
    renewUs: renewUs(pair),
    ...summary(pair),
    scanUs: scanUs(pair, size),
  };
}

function measureHeaps(size: number) {
  const { ownerHeapBytes: owner, followerHeapBytes: follower } =
    new PresencePair(size);
  return { owner, follower };
}

/** CPU time of one message with two operations: a server starts and leaves. */
function deltaUs(pair: PresencePair): number {
  let { incarnation } = makeServer(0);
  return medianCpuUs(() => {
    incarnation++;
    const { owner, now } = pair;
    const server = { ...makeServer(0), incarnation };
    const started = owner.announce(server, now);
    const left = owner.leave(server, now);
    pair.deliver(sendEffects([...started.effects, ...left.effects]));
  });
}

function renewUs(pair: PresencePair): number {
  let sequence = 1;
  return medianCpuUs(() => {
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

function summary(pair: PresencePair) {
  let summaryBytes = 0;
  const summaryUs = medianCpuUs(() => {
    summaryBytes = pair.sendSummary();
  });
  return { summaryBytes, summaryUs };
}

const SCANS_PER_ROUND = 24;

function scanUs(pair: PresencePair, size: number): number {
  const rounds = [1, 2, 3, 4, 5].map((round) => {
    for (let i = 0; i < size; i++) {
      pair.owner.announce(makeServer(i, 1_000_000 + round), pair.now);
    }
    pair.sendSummary();
    const start = process.cpuUsage();
    for (let scan = 0; scan < SCANS_PER_ROUND; scan++) {
      pair.now += 250;
      pair.follower.tick(pair.now);
    }
    return cpuUs(start) / SCANS_PER_ROUND;
  });
  const left = pair.follower.servers(serviceName(3), pair.now).length;
  if (left === 0)
    throw new Error("all leases expired before the end of the scans");
  return median(rounds);
}
