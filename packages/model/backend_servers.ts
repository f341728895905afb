import type { Address, DataCentre } from "./hosts.ts";

/** Identifies a backend server; unique within its service. */
export type BackendServerId = string;

export type BackendServerState = "ready" | "unhealthy" | "leaving";

/** A backend server, as it last announced itself. */
export interface BackendServer {
  readonly id: BackendServerId;
  readonly service: string;
  readonly address: Address;
  readonly dataCentre: DataCentre;
  /** Increases with each start of the server. */
  readonly incarnation: number;
  /** Increases with each announcement of an incarnation. */
  readonly sequence: number;
  readonly state: BackendServerState;
  /** Requests that the server can run concurrently. */
  readonly slots: number;
  /** Connections that the server accepts from all entries together. */
  readonly connections: number;
  /** Requests running at the announcement; out of date on arrival. */
  readonly inFlight: number;
  /** Time since the server's start at the announcement, in milliseconds. */
  readonly startedMsAgo: number;
  /**
   * Time for which the server stays cold at the announcement, in milliseconds;
   * absent if it is not.
   */
  readonly warmUpRemainingMs?: number | undefined;
}

/** Longest time for which a server may say that it stays cold. */
export const MAX_WARM_UP_MS = 3_600_000;

/** Whether calls to both records go to the same address. */
export function hasSameAddress(
  a: Pick<BackendServer, "address">,
  b: Pick<BackendServer, "address">,
): boolean {
  return a.address.host === b.address.host && a.address.port === b.address.port;
}

/** A key that is unique among the backend servers of all services. */
export function backendServerKey(
  server: Pick<BackendServer, "service" | "id">,
): string {
  return `${server.service}/${server.id}`;
}
