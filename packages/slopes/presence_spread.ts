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
  INCARNATION,
  makeServer,
  makeView,
  serviceName,
  TARGET,
  TARGET_ENTRIES,
} from "./synthetic.ts";
import { passed } from "./wire_size.ts";

const ENTRIES = [20, 40, 80, 120];
const SERVERS = [2_400, 4_800, 8_600];
const FIXED_ENTRIES = 40;
const FIXED_SERVERS = 2_400;

const STEP_MS = 100;
const RENEW_MS = 3_000;
const WARM_UP_MS = 4_000;
/** Twice the interval of summaries from 2,000 servers on. */
const MEASURED_MS = 6_000;

const SPREADS: readonly [string, () => Dissemination][] = [
  ["mesh", () => new MeshDissemination()],
  ["relays", () => new RelayDissemination()],
];

/** Traffic of presence at rest: servers renew, none starts or leaves. */
export function presenceSpread(): Row[] {
  return SPREADS.flatMap(([name, spread]) => [
    ...rows(`presence at rest, ${name}, ${FIXED_SERVERS} servers`, {
      per: "entries",
      target: TARGET_ENTRIES,
      figures: ENTRIES.map((size) => ({
        size,
        ...run(size, { servers: FIXED_SERVERS, spread }),
      })),
    }),
    ...rows(`presence at rest, ${name}, ${FIXED_ENTRIES} entries`, {
      per: "servers",
      target: TARGET.servers,
      figures: SERVERS.map((size) => ({
        size,
        ...run(FIXED_ENTRIES, { servers: size, spread }),
      })),
    }),
  ]);
}

interface Figure {
  readonly bytes: number;
  readonly messages: number;
  readonly ms: number;
}

function rows(
  name: string,
  options: {
    per: string;
    target: number;
    figures: readonly (Figure & { size: number })[];
  },
): Row[] {
  const { per, target, figures } = options;
  const row = (what: string, unit: string, value: (f: Figure) => number) => ({
    quantity: `${name}: ${what}`,
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

function run(
  entries: number,
  options: { servers: number; spread: () => Dissemination },
): Figure {
  const { servers, spread } = options;
  const view = makeView(entries);
  const services = Array.from({ length: TARGET.services }, (_, index) =>
    serviceName(index),
  );
  const peers = new Map(
    view.entries.map(({ id }, index) => [
      id,
      new Presence({
        id,
        incarnation: INCARNATION,
        dataCentre: dataCentreOf(index),
        randomness: new SeededRandomness(index + 1),
        dissemination: spread(),
      }),
    ]),
  );
  const queue: { from: string; to: string; message: PresenceMessage }[] = [];
  let bytes = 0;
  let messages = 0;
  const carry = (from: string, effects: readonly PresenceEffect[]) => {
    for (const effect of effects) {
      if (effect.type !== "send") continue;
      const { to, kind, payload } = effect;
      const read = passed(kind, payload);
      bytes += read.bytes;
      messages++;
      const message = { kind, payload: read.payload } as PresenceMessage;
      queue.push({ from, to, message });
    }
  };
  const deliver = (now: number) => {
    // Answers are appended while the queue is walked.
    for (const { from, to, message } of queue) {
      carry(to, peers.get(to)?.receive(from, message, now) ?? []);
    }
    queue.length = 0;
  };
  for (const [id, presence] of peers) {
    carry(id, presence.configure({ services, view }, 0));
    for (const peer of peers.keys()) {
      if (peer !== id) carry(id, presence.peerUp(peer, 0));
    }
  }
  deliver(0);
  let start = process.cpuUsage();
  const end = WARM_UP_MS + MEASURED_MS;
  for (let now = STEP_MS; now <= end; now += STEP_MS) {
    for (let i = 0; i < servers; i++) {
      if ((now / STEP_MS + i) % (RENEW_MS / STEP_MS) !== 0) continue;
      const at = entryId(i % entries);
      const server = makeServer(i, now);
      carry(at, peers.get(at)?.announce(server, now).effects ?? []);
    }
    for (const [id, presence] of peers) carry(id, presence.tick(now));
    deliver(now);
    if (now !== WARM_UP_MS) continue;
    bytes = 0;
    messages = 0;
    start = process.cpuUsage();
  }
  const known = peers.get(entryId(0))?.services() ?? [];
  const first = known.flatMap(
    (name) => peers.get(entryId(0))?.servers(name, end) ?? [],
  );
  if (first.length !== servers) throw new Error("records are missing");
  const perEntryS = entries * (MEASURED_MS / 1_000);
  return {
    bytes: bytes / perEntryS,
    messages: messages / perEntryS,
    ms: cpuUs(start) / 1_000 / perEntryS,
  };
}
