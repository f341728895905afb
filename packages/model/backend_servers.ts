import type { Address, DataCentre } from "./hosts.ts";

/** Identifies a backend server; unique within its service. */
export type BackendServerId = string;

export type BackendServerState = "ready" | "unhealthy" | "leaving";

/** A backend server's newest announcement. */
export interface BackendServer {
  readonly id: BackendServerId;
  readonly service: string;
  readonly address: Address;
  readonly dataCentre: DataCentre;
  /** Higher at each start of the server. */
  readonly incarnation: number;
  /** Higher at each announcement within an incarnation. */
  readonly sequence: number;
  readonly state: BackendServerState;
  /** Requests that the server runs at the same time. */
  readonly slots: number;
  /** Connections that the server accepts over all entries. */
  readonly connections: number;
  /** Requests running when the announcement was made; stale on arrival. */
  readonly inFlight: number;
  /** Age of the incarnation in milliseconds at the announcement. */
  readonly startedMsAgo: number;
}

/** The key of a backend server over all services. */
export function backendServerKey(
  server: Pick<BackendServer, "service" | "id">,
): string {
  return `${server.service}/${server.id}`;
}
