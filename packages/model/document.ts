import type { BackendServerId } from "./backend_servers.ts";
import type { HostRoute, LeavingServer, RequestLimits } from "./host_routes.ts";
import type { Address, DataCentre, FormerView, HostId, View } from "./hosts.ts";
import type { Tenant } from "./tenants.ts";

/** Urgent calls are served before patient ones. */
export type Priority = "urgent" | "patient";

/** Requests of a service that are served with the same parameters. */
export interface RequestClass {
  readonly name: string;
  readonly priority: Priority;
  /** Time from arrival to the response; callers may set a shorter one. */
  readonly deadlineMs: number;
  /** False for requests that run at most once (bookings, orders). */
  readonly repeatable: boolean;
  /**
   * How a resent request that runs at most once is recognised: "key" compares
   * idempotency keys; with "request" each request counts as a new one.
   */
  readonly identity?: "key" | "request";
  /** Latency objective in milliseconds; the deadline if absent. */
  readonly targetMs?: number;
  /** Most servers that one request is sent to, including refusals. */
  readonly attempts?: number;
}

/** Maps requests to a class; the first matching route of a service counts. */
export interface Route {
  /** Any method if absent. */
  readonly method?: string;
  /** Prefix of the path. */
  readonly path: string;
  readonly class: string;
}

/** A service and its settings in the document. */
export interface Service {
  readonly name: string;
  /** Share of the service's slots that probes may take, in percent. */
  readonly measuringBudgetPercent: number;
  /** Retries and hedges as a share of calls, in percent. */
  readonly retryBudgetPercent: number;
  /** Share of capacity that may be ejected as outliers, in percent. */
  readonly ejectionMaxPercent: number;
  /** Longest graceful drain of a planned stop before it counts as overdue. */
  readonly drainLimitS: number;
  /** Time over which a new server is ramped up to its full slots. */
  readonly coldStartMs: number;
  /** Calls that may wait for a slot, in all entries together. */
  readonly queueLength: number;
  /** Slots of servers whose announcement names none. */
  readonly slotsPerServer: number;
  /** Connections of servers whose announcement names none. */
  readonly connectionsPerServer: number;
  readonly classes: readonly RequestClass[];
  readonly routes: readonly Route[];
  /** Path of the servers' health check; a default applies if absent. */
  readonly healthPath?: string;
  /** Requests a second that a cold server takes from all entries together. */
  readonly coldRequestsPerS?: number;
}

/** A stop of backend servers that operators have planned. */
export interface PlannedStop {
  readonly name: string;
  readonly service: string;
  /** Stops all servers of the service in this data centre. */
  readonly dataCentre?: DataCentre;
  /** Stops these servers; exclusive with `dataCentre`. */
  readonly servers?: readonly BackendServerId[];
  /** Start in milliseconds since the Unix epoch. */
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

/** The operators' whole configuration, merged from its sections and items. */
export interface Document {
  /** Increases with each accepted change; 0 before the first. */
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
  /** If absent, the settings of each entry apply. */
  readonly requestLimits?: RequestLimits | undefined;
  /**
   * Present if requests need a tenant's key. It stays, empty, when the last tenant
   * is removed, which must not open all routes.
   */
  readonly tenants?: readonly Tenant[];
  /** Data centres whose servers get no requests; none if absent. */
  readonly evacuated?: readonly DataCentre[];
  /**
   * Largest difference to expect between the clocks of callers and hosts, and
   * between those of hosts, in milliseconds. Idempotency keys of requests that
   * run at most once rely on it.
   */
  readonly clockSkewMs: number;
}

/** Used if the section `system` sets no clock skew; in milliseconds. */
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

/** The progress of a planned stop. */
export interface StopProgress {
  readonly stop: string;
  readonly phase: StopPhase;
  /** Milliseconds since the Unix epoch at which the phase began. */
  readonly since: number;
}

/** A control host in the replicated state. */
export interface ControlPeer {
  readonly id: HostId;
  readonly peer: Address;
}

/** The configuration that control distributes to entries. */
export interface Configuration {
  readonly document: Document;
  readonly view: View;
  /** Views that are unsettled or ended in the last 12 min, oldest first. */
  readonly formerViews: readonly FormerView[];
  readonly stops: readonly StopProgress[];
  /** Backend servers that are leaving, sorted by id. */
  readonly leaving: readonly LeavingServer[];
  /** The control hosts, if they are discovered at run time. */
  readonly controls: readonly ControlPeer[];
  /**
   * Increases with every change of the configuration. Entries reject a lower
   * version from any sender.
   */
  readonly version: number;
}
