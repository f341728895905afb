import type { BackendServerId } from "./backend_servers.ts";
import type { HostRoute, LeavingServer, RequestLimits } from "./host_routes.ts";
import type { Address, DataCentre, FormerView, HostId, View } from "./hosts.ts";

/** Urgent work is served ahead of patient work. */
export type Priority = "urgent" | "patient";

/** How requests of one kind are served. */
export interface RequestClass {
  readonly name: string;
  readonly priority: Priority;
  /** Time from arrival to the answer, unless the caller asks for less. */
  readonly deadlineMs: number;
  /** False for requests that run at most once (bookings, orders). */
  readonly repeatable: boolean;
  /**
   * How a request that runs at most once is told from a resend: by its key, or
   * each request of a caller counts as a new one.
   */
  readonly identity?: "key" | "request";
  /** Latency objective in milliseconds; the deadline if absent. */
  readonly targetMs?: number;
  /** Most servers that one request is sent to, refusals included. */
  readonly attempts?: number;
}

/** Maps requests to a class; the first route that matches counts. */
export interface Route {
  /** Any method if absent. */
  readonly method?: string;
  /** A prefix of the path. */
  readonly path: string;
  readonly class: string;
}

/** One service as the document describes it. */
export interface Service {
  readonly name: string;
  /** Share of the service's slots that measuring may take, in percent. */
  readonly measuringBudgetPercent: number;
  /** Retries and hedges as a share of calls, in percent. */
  readonly retryBudgetPercent: number;
  /** Share of capacity that may be ejected as outliers, in percent. */
  readonly ejectionMaxPercent: number;
  /** Longest graceful drain of a planned stop before it counts as overdue. */
  readonly drainLimitS: number;
  /** Time over which a new server is ramped up to its full slots. */
  readonly coldStartMs: number;
  /** Calls that may wait for a slot, over all entries. */
  readonly queueLength: number;
  /** Used where an announcement names no slots. */
  readonly slotsPerServer: number;
  /** Used where an announcement names no connections. */
  readonly connectionsPerServer: number;
  readonly classes: readonly RequestClass[];
  readonly routes: readonly Route[];
  /** Path of the servers' health check, where the service names its own. */
  readonly healthPath?: string;
}

/** A stop of backend servers that the operators planned. */
export interface PlannedStop {
  readonly name: string;
  readonly service: string;
  /** All servers of the service in this data centre. */
  readonly dataCentre?: DataCentre;
  /** Or these servers. */
  readonly servers?: readonly BackendServerId[];
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
  /** Stops that must be done before this one starts. */
  readonly after: readonly string[];
}

/** A group of operators with its own credential. */
export interface Team {
  readonly name: string;
  /** SHA-256 of the credential, in hexadecimal. */
  readonly credential: string;
}

/** The merged sections: the whole statement of intent. */
export interface Document {
  /** Grows with each accepted change; 0 before the first. */
  readonly revision: number;
  /** Data centres by region. */
  readonly regions: Readonly<Record<string, readonly DataCentre[]>>;
  readonly teams: readonly Team[];
  /** Owning team by section name. */
  readonly owners: Readonly<Record<string, string>>;
  readonly services: readonly Service[];
  readonly stops: readonly PlannedStop[];
  /** Routes by host and path, from configuration items. */
  readonly hostRoutes: readonly HostRoute[];
  /** Absent where each entry's settings decide. */
  readonly requestLimits?: RequestLimits | undefined;
  /**
   * Largest difference between the clocks of callers and hosts, and between
   * those of hosts, that keys of requests which run at most once rely on.
   */
  readonly clockSkewMs: number;
}

/** Assumed where the section `system` says nothing. */
export const DEFAULT_CLOCK_SKEW_MS = 30_000;

export const EMPTY_DOCUMENT: Document = {
  clockSkewMs: DEFAULT_CLOCK_SKEW_MS,
  revision: 0,
  regions: {},
  teams: [],
  owners: {},
  services: [],
  stops: [],
  hostRoutes: [],
};

export type StopPhase = "pending" | "draining" | "done" | "overdue";

/** How far a planned stop has come. */
export interface StopProgress {
  readonly stop: string;
  readonly phase: StopPhase;
  /** Milliseconds since the Unix epoch at which the phase began. */
  readonly since: number;
}

/** A control host as the agreed state knows it. */
export interface ControlPeer {
  readonly id: HostId;
  readonly peer: Address;
}

/** What control gives to entries: all that is in force. */
export interface Configuration {
  readonly document: Document;
  readonly view: View;
  /** The views that ended within the last 12 minutes, oldest first. */
  readonly formerViews: readonly FormerView[];
  readonly stops: readonly StopProgress[];
  /** Backend servers that have said they leave, by id. */
  readonly leaving: readonly LeavingServer[];
  /** The control hosts, where they are found at run time. */
  readonly controls: readonly ControlPeer[];
  /**
   * Grows with every change of document, view or stop progress; entries refuse
   * a lower one from anybody.
   */
  readonly version: number;
}
