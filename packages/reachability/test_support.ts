import type { BackendServer, Entry } from "#model";

export function testServer(id: string, dataCentre: string): BackendServer {
  return {
    id,
    service: "alloc",
    address: { host: "10.0.0.1", port: 1 },
    dataCentre,
    incarnation: 1,
    sequence: 1,
    state: "ready",
    slots: 4,
    connections: 100,
    inFlight: 0,
    startedMsAgo: 0,
  };
}

export function testEntry(id: string, dataCentre: string): Entry {
  const address = { host: id, port: 1 };
  return {
    id,
    incarnation: 1,
    dataCentre,
    http: address,
    peer: address,
    handover: address,
    state: "ready",
  };
}
