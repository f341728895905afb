import type { BackendServer, Entry, Service, View } from "#model";

/** Sizes of the target deployment, from section 1.5 of the design. */
export const TARGET = {
  services: 860,
  servers: 8_600,
  callsPerS: 520_000,
  dataCentres: 10,
  changesPerDay: 14_000,
  restartsPerDay: 1_400,
} as const;

/**
 * Entry processes at the target: each takes 1,040 of 520,000 calls/s, which
 * keeps it below 60% of a core at 0.31 to 0.42 ms of CPU time per call and a
 * fixed 119 to 195 ms/s per entry (`calls.ts`; see docs/CAPACITY.md).
 */
export const TARGET_ENTRIES = 500;

/** Incarnation of the first entry or server: a start time in Unix ms. */
export const FIRST_INCARNATION = 1_764_792_000_000;

const padded = (index: number) => String(index + 1).padStart(4, "0");

export function dataCentreOf(index: number): string {
  return `centre-${padded(index % TARGET.dataCentres)}`;
}

export function entryId(index: number): string {
  return `entry-${padded(index)}`;
}

export function serviceName(index: number): string {
  return `service-${padded(index)}`;
}

export function makeService(index: number): Service {
  return {
    name: serviceName(index),
    measuringBudgetPercent: 1,
    retryBudgetPercent: 10,
    ejectionMaxPercent: 30,
    drainLimitS: 600,
    coldStartMs: 10_000,
    queueLength: 400,
    slotsPerServer: 6,
    connectionsPerServer: 300,
    classes: [
      {
        name: "booking",
        priority: "urgent",
        deadlineMs: 5_000,
        repeatable: false,
      },
      {
        name: "lookup",
        priority: "patient",
        deadlineMs: 60_000,
        repeatable: true,
      },
    ],
    routes: [
      { method: "POST", path: "/bookings", class: "booking" },
      { path: "/", class: "lookup" },
    ],
  };
}

export function makeServices(count: number): Service[] {
  return Array.from({ length: count }, (_, index) => makeService(index));
}

/** The YAML text of a section with `count` services from index `first` on. */
export function sectionText(first: number, count: number, drainS = 600) {
  const services = Array.from({ length: count }, (_, i) => {
    const name = serviceName(first + i);
    return `  ${name}:
    measuring_budget_percent: 1
    retry_budget_percent: 10
    ejection_max_percent: 30
    drain_limit_s: ${drainS}
    cold_start_ms: 10000
    queue_length: 400
    slots_per_server: 6
    connections_per_server: 300
    classes:
      booking: { priority: urgent, deadline_ms: 5000, repeatable: false }
      lookup: { priority: patient, deadline_ms: 60000, repeatable: true }
    routes:
      - { method: POST, path: /bookings, class: booking }
      - { path: /, class: lookup }
`;
  });
  return `services:\n${services.join("")}`;
}

export function makeEntry(
  index: number,
  incarnation = FIRST_INCARNATION,
): Entry {
  const host = `10.${index % 10}.${index >> 8}.${index & 255}`;
  return {
    id: entryId(index),
    incarnation: incarnation + index,
    dataCentre: dataCentreOf(index),
    http: { host, port: 8_080 },
    peer: { host, port: 8_081 },
    state: "ready",
  };
}

export function makeView(entries: number, epoch = 1): View {
  return {
    epoch,
    entries: Array.from({ length: entries }, (_, index) => makeEntry(index)),
    began: FIRST_INCARNATION,
  };
}

export function makeServer(index: number, sequence = 1): BackendServer {
  const host = `10.${100 + (index % 10)}.${index >> 8}.${index & 255}`;
  return {
    id: `worker-${padded(index)}`,
    service: serviceName(index % TARGET.services),
    address: { host, port: 9_000 },
    dataCentre: dataCentreOf(index),
    incarnation: FIRST_INCARNATION + index,
    sequence,
    state: "ready",
    slots: 6,
    connections: 300,
    inFlight: index % 6,
    startedMsAgo: 3_600_000,
  };
}
