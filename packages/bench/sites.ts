import type { DataCentre, Service } from "#model";

/** Entries of a deployment. */
export const ENTRIES = 17;
/** One-way latency between hosts of one data centre, in milliseconds. */
export const WITHIN_MS = 0.1;
/** Mean bare service time of a call, in milliseconds; exponential. */
export const SERVICE_MS = 20;
/** Time that a probe takes of a slot, in milliseconds. */
export const PROBE_MS = 6;

/** A service at one of the users' sites. */
export interface Site {
  readonly name: string;
  readonly dataCentres: readonly DataCentre[];
  readonly servers: number;
  /** One-way latency between data centres, in milliseconds. */
  readonly betweenMs: number;
  readonly service: Service;
}

function service(name: string, slots: number): Service {
  return {
    name,
    measuringBudgetPercent: 1,
    retryBudgetPercent: 10,
    ejectionMaxPercent: 30,
    drainLimitS: 600,
    coldStartMs: 10_000,
    queueLength: 400,
    slotsPerServer: slots,
    connectionsPerServer: 300,
    classes: [
      { name: "u", priority: "urgent", deadlineMs: 5_000, repeatable: true },
      { name: "p", priority: "patient", deadlineMs: 3_000, repeatable: true },
    ],
    routes: [],
  };
}

export const ALLOC: Site = {
  name: "alloc",
  dataCentres: ["riga-a", "riga-b", "jelgava", "valmiera"],
  servers: 12,
  betweenMs: 0.5,
  service: service("alloc", 6),
};

export const COUNTER_APP: Site = {
  name: "counter-app",
  dataCentres: ["bga-centro", "bga-norte", "bga-flor", "bga-giron"],
  servers: 14,
  betweenMs: 1,
  service: service("counter-app", 2),
};

/** The data centre of the n-th host when hosts are spread evenly. */
export function dataCentreOf(site: Site, index: number): DataCentre {
  return site.dataCentres[index % site.dataCentres.length] as DataCentre;
}

/** One-way latency between two hosts by their indices, in milliseconds. */
export function latencyMs(site: Site, a: number, b: number): number {
  const count = site.dataCentres.length;
  return a % count === b % count ? WITHIN_MS : site.betweenMs;
}
