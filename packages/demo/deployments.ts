import type { CallerRequest } from "./caller.ts";

/** Calls of one class in the demo. */
export interface Traffic {
  readonly class: string;
  /** Calls a second. */
  readonly rate: number;
  readonly request: CallerRequest;
}

export interface Backends {
  readonly service: string;
  readonly count: number;
  readonly slots: number;
  readonly connections: number;
}

/** One customer's site, at the size that they state. */
export interface Deployment {
  readonly name: string;
  readonly dataCentres: readonly string[];
  readonly backends: readonly Backends[];
  readonly traffic: readonly Traffic[];
  /** The section that is changed, and the stop that is planned, under load. */
  readonly section: { readonly name: string; readonly team: string };
  readonly stop: { readonly name: string; readonly service: string };
  readonly stopDataCentre: string;
}

const read = (service: string, path: string): CallerRequest => ({
  service,
  method: "GET",
  path,
  keyed: false,
});

const write = (service: string, path: string, body: object): CallerRequest => ({
  service,
  method: "POST",
  path,
  keyed: true,
  body: JSON.stringify(body),
});

export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: "daugava",
    dataCentres: ["riga-a", "riga-b", "jelgava", "valmiera"],
    backends: [
      { service: "alloc", count: 12, slots: 6, connections: 300 },
      { service: "report", count: 18, slots: 6, connections: 300 },
    ],
    traffic: [
      {
        class: "lookup",
        rate: 120,
        request: read("alloc", "/timesheets/7"),
      },
      {
        class: "booking",
        rate: 40,
        request: write("alloc", "/bookings", { grant: 7, hours: 3 }),
      },
      {
        class: "export",
        rate: 10,
        request: read("report", "/exports/audit"),
      },
      {
        class: "summary",
        rate: 20,
        request: read("report", "/summaries/chemistry"),
      },
    ],
    section: { name: "alloc", team: "allocation" },
    stop: { name: "riga-a-alloc", service: "alloc" },
    stopDataCentre: "riga-a",
  },
  {
    name: "bucaramanga",
    dataCentres: ["bga-centro", "bga-norte", "bga-flor", "bga-giron"],
    backends: [
      { service: "counter-app", count: 14, slots: 2, connections: 250 },
      { service: "backoffice-app", count: 13, slots: 2, connections: 250 },
    ],
    traffic: [
      {
        class: "menu-check",
        rate: 120,
        request: read("counter-app", "/menu-checks/3"),
      },
      {
        class: "restock-order",
        rate: 40,
        request: write("counter-app", "/restock-orders", { trays: 2 }),
      },
      {
        class: "delivery-history",
        rate: 15,
        request: read("backoffice-app", "/delivery-histories/3"),
      },
      {
        class: "temperature-log",
        rate: 15,
        request: read("backoffice-app", "/temperature-logs/3"),
      },
    ],
    section: { name: "counter-app", team: "counter" },
    stop: { name: "bga-giron-counter-app", service: "counter-app" },
    stopDataCentre: "bga-giron",
  },
];
