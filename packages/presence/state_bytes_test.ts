import assert from "node:assert/strict";
import { test } from "node:test";
import { encodeFrame, MAX_FRAME_BYTES } from "#wire";
import {
  type Dissemination,
  MeshDissemination,
  RelayDissemination,
} from "./dissemination.ts";
import { entriesAcross, Simulation, server } from "./testing/simulation.ts";
import { RENEW_INTERVAL_MS } from "./timings.ts";

/** Size of IPv4 and TCP headers with the timestamps option, and of an ACK. */
const PACKET_BYTES = 52;
/** A multiple of the intervals between summaries (2 s and 3 s). */
const MEASUREMENT_MS = 6_000;

interface SiteSize {
  readonly entries: number;
  readonly dataCentres: number;
  readonly services: number;
  readonly servers: number;
}

const CURRENT: SiteSize = {
  entries: 18,
  dataCentres: 4,
  services: 2,
  servers: 30,
};
const HALF_ENTRIES: SiteSize = { ...CURRENT, entries: 9 };
const DOUBLE_SERVERS: SiteSize = { ...CURRENT, servers: 60 };
/** The target in two years; takes a minute and 2 GB, so it runs on demand. */
const TARGET: SiteSize = {
  entries: 200,
  dataCentres: 10,
  services: 860,
  servers: 8_600,
};

interface Traffic {
  /** Frames sent and received by an entry on average. */
  readonly meanBytesPerS: number;
  /** The same at the entry with the most traffic. */
  readonly maxBytesPerS: number;
  /** Estimated mean with packet headers and acknowledgements. */
  readonly meanWithHeadersBytesPerS: number;
  /** Frames that a joining entry receives in its first second. */
  readonly joinBytes: number;
}

/** Counts the bytes of all frames in the encoding of the peer protocol. */
function measureTraffic(
  size: SiteSize,
  dissemination: () => Dissemination,
): Traffic {
  const names = Array.from({ length: size.dataCentres }, (_, i) => `dc-${i}`);
  const services = Array.from({ length: size.services }, (_, i) => `svc-${i}`);
  const entries = Object.fromEntries(
    Object.entries(entriesAcross(size.entries, names)).map(([id, name]) => [
      `entry-${name}-${id}`,
      name,
    ]),
  );
  const sim = new Simulation({ seed: 1, entries, services, dissemination });
  const ids = Object.keys(entries);
  const servers = Array.from({ length: size.servers }, (_, i) => ({
    at: ids[i % ids.length] ?? "",
    due: sim.now + ((i * 997) % RENEW_INTERVAL_MS),
    record: server(`${names[i % names.length]}-worker-${i}`, {
      service: services[i % services.length],
      incarnation: 1_764_792_036_000,
      sequence: 100,
    }),
  }));
  const renew = () => {
    for (const simulated of servers) {
      if (sim.now < simulated.due) continue;
      const { sequence } = simulated.record;
      const inFlight = (sequence * 7) % 6;
      simulated.record = {
        ...simulated.record,
        sequence: sequence + 1,
        inFlight,
      };
      simulated.due += RENEW_INTERVAL_MS;
      sim.announce(simulated.at, simulated.record);
    }
  };
  sim.run(6_000, renew);
  const bytes = new Map(ids.map((id) => [id, { sent: 0, received: 0 }]));
  const packets = new Set<string>();
  const count = (from: string, to: string, length: number) => {
    const [sender, receiver] = [bytes.get(from), bytes.get(to)];
    if (sender) sender.sent += length;
    if (receiver) receiver.received += length;
    // Messages of one step are sent in one packet.
    packets.add(`${from} ${to} ${sim.now}`);
  };
  sim.onSend = (from, { to, kind, payload }) => {
    const frame = encodeFrame(kind, payload);
    count(from, to, frame.isOk() ? frame.value.length : 0);
  };
  sim.run(MEASUREMENT_MS, renew);
  const seconds = MEASUREMENT_MS / 1_000;
  const totals = ids.map((id) => {
    const { sent = 0, received = 0 } = bytes.get(id) ?? {};
    return (sent + received) / seconds;
  });
  const meanBytesPerS =
    totals.reduce((sum, total) => sum + total, 0) / ids.length;
  // A packet and its acknowledgement are each counted at two entries.
  const overhead = (4 * packets.size * PACKET_BYTES) / seconds / ids.length;
  const joiner = ids[0] ?? "";
  sim.start(joiner);
  const before = bytes.get(joiner)?.received ?? 0;
  sim.run(1_000);
  const joinBytes = (bytes.get(joiner)?.received ?? 0) - before;
  const maxBytesPerS = Math.max(...totals);
  return {
    meanBytesPerS,
    maxBytesPerS,
    meanWithHeadersBytesPerS: meanBytesPerS + overhead,
    joinBytes,
  };
}

function formatTraffic(
  name: string,
  { meanBytesPerS, maxBytesPerS, meanWithHeadersBytesPerS, joinBytes }: Traffic,
) {
  const [a, b, c, d] = [
    meanBytesPerS,
    maxBytesPerS,
    meanWithHeadersBytesPerS,
    joinBytes,
  ].map(Math.round);
  return `${name}: ${a} B/s, most ${b}, with headers ${c}; join ${d} B`;
}

test("traffic at current sizes stays far below 15 KB/s per entry", (t) => {
  const mesh = () => new MeshDissemination();
  const current = measureTraffic(CURRENT, mesh);
  const half = measureTraffic(HALF_ENTRIES, mesh);
  const double = measureTraffic(DOUBLE_SERVERS, mesh);
  t.diagnostic(formatTraffic("today, mesh", current));
  const perEntry =
    (current.meanBytesPerS - half.meanBytesPerS) /
    (CURRENT.entries - HALF_ENTRIES.entries);
  const perServer =
    (double.meanBytesPerS - current.meanBytesPerS) /
    (DOUBLE_SERVERS.servers - CURRENT.servers);
  t.diagnostic(`per further entry ${perEntry.toFixed(1)} B/s`);
  t.diagnostic(`per further server ${perServer.toFixed(2)} B/s`);
  assert.ok(current.meanBytesPerS < 2_000);
  assert.ok(current.meanWithHeadersBytesPerS < 15_000);
  // Renewals sent as whole records would cost some 70 B/s per server.
  assert.ok(perServer < 4);
});

test("relays distribute the forwarding over all entries", (t) => {
  const size = { ...CURRENT, entries: 40, dataCentres: 5, servers: 400 };
  const relays = measureTraffic(size, () => new RelayDissemination());
  t.diagnostic(formatTraffic("40 entries, 400 servers, relays", relays));
  assert.ok(relays.maxBytesPerS < 1.3 * relays.meanBytesPerS);
});

test("no message exceeds the frame size that closes the connection", () => {
  const entries = entriesAcross(2, ["riga-a"]);
  const service = "s".repeat(128);
  const sim = new Simulation({ seed: 1, entries, services: [service] });
  const lengths: number[] = [];
  sim.onSend = (_from, { kind, payload }) => {
    const frame = encodeFrame(kind, payload);
    lengths.push(frame.isOk() ? frame.value.length : Number.POSITIVE_INFINITY);
  };
  const address = { host: "h".repeat(253), port: 9_000 };
  for (let i = 0; i < 1_990; i++) {
    const id = `${i}`.padStart(128, "w");
    const dataCentre = "d".repeat(128);
    sim.announce("e1", server(id, { service, address, dataCentre }));
  }
  sim.run(300);
  assert.equal(sim.entry("e2").servers(service, sim.now).length, 1_990);
  sim.start("e2");
  sim.run(300);
  assert.equal(sim.entry("e2").servers(service, sim.now).length, 1_990);
  assert.ok(Math.max(...lengths) < MAX_FRAME_BYTES);
});

if (process.env.TARGET) {
  test("traffic at the target size stays below 15 KB/s per entry", (t) => {
    const relays = measureTraffic(TARGET, () => new RelayDissemination());
    t.diagnostic(formatTraffic("target, relays", relays));
    const mesh = measureTraffic(TARGET, () => new MeshDissemination());
    t.diagnostic(formatTraffic("target, mesh", mesh));
    assert.ok(relays.maxBytesPerS < 15_000);
  });
}
