import type { BackendServer } from "#model";

/** The record of a backend server on this machine. */
export function serverRecord(
  port: number,
  changes: Partial<BackendServer> = {},
): BackendServer {
  return {
    id: "w1",
    service: "alloc",
    address: { host: "127.0.0.1", port },
    dataCentre: "riga-a",
    incarnation: 1,
    sequence: 1,
    state: "ready",
    slots: 6,
    connections: 300,
    inFlight: 0,
    startedMsAgo: 0,
    ...changes,
  };
}
