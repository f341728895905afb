import { SeededRandomness } from "#model";
import {
  type Dissemination,
  MeshDissemination,
  Presence,
  type PresenceEffect,
  type PresenceMessage,
  RelayDissemination,
} from "#presence";
import { cpuUs } from "./measure.ts";
import type { Row } from "./report.ts";
import {
  dataCentreOf,
  entryId,
  FIRST_INCARNATION,
  makeServer,
  makeView,
  serviceName,
  TARGET,
  TARGET_ENTRIES,
} from "./synthetic.ts";
import { encodeAndDecode } from "./wire_size.ts";

const ENTRY_COUNTS = [20, 40, 80, 120];
const SERVER_COUNTS = [2_400, 4_800, 8_600];
const FIXED_ENTRY_COUNT = 40;
const FIXED_SERVER_COUNT = 2_400;

const STEP_MS = 100;
const RENEWAL_INTERVAL_MS = 3_000;
const WARM_UP_MS = 4_000;
/** Two presence summary intervals, for 2,000 servers or more. */
const MEASUREMENT_MS = 6_000;

const DISSEMINATIONS: readonly [string, () => Dissemination][] = [
  ["mesh", () => new MeshDissemination()],
  ["relays", () => new RelayDissemination()],
];

/** Measures presence traffic while servers renew and none starts or leaves. */
export function measurePresenceTraffic(): Row[] {
  return DISSEMINATIONS.flatMap(([name, createDissemination]) => [
    ...makeTrafficRows(
      `presence at rest, ${name}, ${FIXED_SERVER_COUNT} servers`,
      {
        per: "entries",
        target: TARGET_ENTRIES,
        figures: ENTRY_COUNTS.map((size) => ({
          size,
          ...simulate(size, {
            servers: FIXED_SERVER_COUNT,
            createDissemination,
          }),
        })),
      },
    ),
    ...makeTrafficRows(
      `presence at rest, ${name}, ${FIXED_ENTRY_COUNT} entries`,
      {
        per: "servers",
        target: TARGET.servers,
        figures: SERVER_COUNTS.map((size) => ({
          size,
          ...simulate(FIXED_ENTRY_COUNT, {
            servers: size,
            createDissemination,
          }),
        })),
      },
    ),
  ]);
}

/** Averages of one entry, per second. */
interface EntryTraffic {
  readonly bytes: number;
  readonly messages: number;
  readonly ms: number;
}

function makeTrafficRows(
  name: string,
  options: {
    per: string;
    target: number;
    figures: readonly (EntryTraffic & { size: number })[];
  },
): Row[] {
  const { per, target, figures } = options;
  const row = (
    measured: string,
    unit: string,
    value: (f: EntryTraffic) => number,
  ) => ({
    quantity: `${name}: ${measured}`,
    unit,
    per,
    target,
    points: figures.map((f) => ({ size: f.size, value: value(f) })),
  });
  return [
    row("sent by an entry", "bytes/s", (f) => f.bytes),
    row("sent by an entry", "messages/s", (f) => f.messages),
    row("CPU of an entry", "ms/s", (f) => f.ms),
  ];
}

function simulate(
  entries: number,
  options: { servers: number; createDissemination: () => Dissemination },
): EntryTraffic {
  const { servers, createDissemination } = options;
  const view = makeView(entries);
  const services = Array.from({ length: TARGET.services }, (_, index) =>
    serviceName(index),
  );
  const peers = new Map(
    view.entries.map(({ id }, index) => [
      id,
      new Presence({
        id,
        incarnation: FIRST_INCARNATION,
        dataCentre: dataCentreOf(index),
        randomness: new SeededRandomness(index + 1),
        dissemination: createDissemination(),
      }),
    ]),
  );
  const queue: { from: string; to: string; message: PresenceMessage }[] = [];
  let bytes = 0;
  let messages = 0;
  const enqueueSends = (from: string, effects: readonly PresenceEffect[]) => {
    for (const effect of effects) {
      if (effect.type !== "send") continue;
      const { to, kind, payload } = effect;
      const read = encodeAndDecode(kind, payload);
      bytes += read.bytes;
      messages++;
      const message = { kind, payload: read.payload } as PresenceMessage;
      queue.push({ from, to, message });
    }
  };
  const deliver = (now: number) => {
    // Replies are appended to the queue during this loop, which sends them too.
    for (const { from, to, message } of queue) {
      enqueueSends(to, peers.get(to)?.receive(from, message, now) ?? []);
    }
    queue.length = 0;
  };
  for (const [id, presence] of peers) {
    enqueueSends(id, presence.configure({ services, view }, 0));
    for (const peer of peers.keys()) {
      if (peer !== id) enqueueSends(id, presence.peerUp(peer, 0));
    }
  }
  deliver(0);
  let start = process.cpuUsage();
  const end = WARM_UP_MS + MEASUREMENT_MS;
  for (let now = STEP_MS; now <= end; now += STEP_MS) {
    for (let i = 0; i < servers; i++) {
      if ((now / STEP_MS + i) % (RENEWAL_INTERVAL_MS / STEP_MS) !== 0) continue;
      const at = entryId(i % entries);
      const server = makeServer(i, now);
      enqueueSends(at, peers.get(at)?.announce(server, now).effects ?? []);
    }
    for (const [id, presence] of peers) enqueueSends(id, presence.tick(now));
    deliver(now);
    if (now !== WARM_UP_MS) continue;
    bytes = 0;
    messages = 0;
    start = process.cpuUsage();
  }
  const serviceNames = peers.get(entryId(0))?.services() ?? [];
  const knownServers = serviceNames.flatMap(
    (name) => peers.get(entryId(0))?.servers(name, end) ?? [],
  );
  if (knownServers.length !== servers) throw new Error("records are missing");
  const perEntryS = entries * (MEASUREMENT_MS / 1_000);
  return {
    bytes: bytes / perEntryS,
    messages: messages / perEntryS,
    ms: cpuUs(start) / 1_000 / perEntryS,
  };
}
