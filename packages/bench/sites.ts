import type { DataCentre, Service } from "#model";

/** Number of entries of each site. */
export const ENTRY_COUNT = 17;
/** One-way latency between hosts of one data centre, in milliseconds. */
export const LATENCY_WITHIN_DATA_CENTRE_MS = 0.1;
/** Mean of the exponentially distributed service time without slowdown. */
export const MEAN_SERVICE_MS = 20;
/** Time for which a probe occupies a slot, in milliseconds. */
export const PROBE_SLOT_MS = 6;

/** One service at one of the users' sites. */
export interface Site {
  readonly name: string;
  readonly dataCentres: readonly DataCentre[];
  readonly servers: number;
  /** One-way latency between data centres, in milliseconds. */
  readonly latencyBetweenDataCentresMs: number;
  readonly service: Service;
}

function makeService(name: string, slots: number): Service {
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
  latencyBetweenDataCentresMs: 0.5,
  service: makeService("alloc", 6),
};

export const COUNTER_APP: Site = {
  name: "counter-app",
  dataCentres: ["bga-centro", "bga-norte", "bga-flor", "bga-giron"],
  servers: 14,
  latencyBetweenDataCentresMs: 1,
  service: makeService("counter-app", 2),
};

/** Data centre of the n-th host; hosts are assigned to them in turn. */
export function dataCentreOf(site: Site, index: number): DataCentre {
  return site.dataCentres[index % site.dataCentres.length] as DataCentre;
}

/** One-way latency between the hosts with these indices, in milliseconds. */
export function latencyMs(site: Site, a: number, b: number): number {
  const count = site.dataCentres.length;
  return a % count === b % count
    ? LATENCY_WITHIN_DATA_CENTRE_MS
    : site.latencyBetweenDataCentresMs;
}
