import type { CallerRequest } from "./caller.ts";

/** Calls of one class in the demo. */
export interface Traffic {
  readonly class: string;
  /** Calls per second. */
  readonly rate: number;
  readonly request: CallerRequest;
}

/** The backend servers of one service. */
export interface BackendGroup {
  readonly service: string;
  readonly count: number;
  readonly slots: number;
  readonly connections: number;
}

/** A user's site, with the number of backend servers that they state. */
export interface Deployment {
  readonly name: string;
  readonly dataCentres: readonly string[];
  readonly backends: readonly BackendGroup[];
  readonly traffic: readonly Traffic[];
  /** The section that is changed under load. */
  readonly section: { readonly name: string; readonly team: string };
  /** The planned stop under load, of a service in `stopDataCentre`. */
  readonly stop: { readonly name: string; readonly service: string };
  readonly stopDataCentre: string;
}

const readCall = (service: string, path: string): CallerRequest => ({
  service,
  method: "GET",
  path,
  keyed: false,
});

const writeCall = (
  service: string,
  path: string,
  body: object,
): CallerRequest => ({
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
        request: readCall("alloc", "/timesheets/7"),
      },
      {
        class: "booking",
        rate: 40,
        request: writeCall("alloc", "/bookings", { grant: 7, hours: 3 }),
      },
      {
        class: "export",
        rate: 10,
        request: readCall("report", "/exports/audit"),
      },
      {
        class: "summary",
        rate: 20,
        request: readCall("report", "/summaries/chemistry"),
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
        request: readCall("counter-app", "/menu-checks/3"),
      },
      {
        class: "restock-order",
        rate: 40,
        request: writeCall("counter-app", "/restock-orders", { trays: 2 }),
      },
      {
        class: "delivery-history",
        rate: 15,
        request: readCall("backoffice-app", "/delivery-histories/3"),
      },
      {
        class: "temperature-log",
        rate: 15,
        request: readCall("backoffice-app", "/temperature-logs/3"),
      },
    ],
    section: { name: "counter-app", team: "counter" },
    stop: { name: "bga-giron-counter-app", service: "counter-app" },
    stopDataCentre: "bga-giron",
  },
];
