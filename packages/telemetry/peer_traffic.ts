import { Counter, type Registry } from "prom-client";

/** Bytes exchanged with other processes of mangobank since the start. */
export interface PeerTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
  /** Bytes of the frames sent, by message kind. */
  readonly sentByKind: ReadonlyMap<string, number>;
  /** Messages of peers that were refused, by message kind. */
  readonly refusedByKind: ReadonlyMap<string, number>;
  /** Number of messages sent, by message kind. */
  readonly messagesByKind?: ReadonlyMap<string, number>;
  /** Links that were opened to peers. */
  readonly openedLinks?: number;
  /** Connections to peers that were closed, by the fault that closed them. */
  readonly closedByFault?: ReadonlyMap<string, number>;
}

/** Registers counters of peer traffic, which are updated at each scrape. */
export function registerPeerTraffic(
  registry: Registry,
  traffic: () => PeerTraffic,
): void {
  new Counter({
    name: "mangobank_peer_bytes_total",
    help: "Bytes exchanged with other processes of the system",
    labelNames: ["direction"],
    registers: [registry],
    collect() {
      const { sentBytes, receivedBytes } = traffic();
      this.reset();
      this.inc({ direction: "sent" }, sentBytes);
      this.inc({ direction: "received" }, receivedBytes);
    },
  });
  new Counter({
    name: "mangobank_peer_sent_bytes_total",
    help: "Bytes sent to other processes of the system, by message kind",
    labelNames: ["kind"],
    registers: [registry],
    collect() {
      this.reset();
      for (const [kind, bytes] of traffic().sentByKind) {
        this.inc({ kind }, bytes);
      }
    },
  });
  new Counter({
    name: "mangobank_refused_messages_total",
    help: "Messages of other processes that were refused, by message kind",
    labelNames: ["kind"],
    registers: [registry],
    collect() {
      this.reset();
      for (const [kind, messages] of traffic().refusedByKind) {
        this.inc({ kind }, messages);
      }
    },
  });
  new Counter({
    name: "mangobank_peer_sent_messages_total",
    help: "Messages sent to other processes of the system, by message kind",
    labelNames: ["kind"],
    registers: [registry],
    collect() {
      this.reset();
      for (const [kind, messages] of traffic().messagesByKind ?? []) {
        this.inc({ kind }, messages);
      }
    },
  });
  new Counter({
    name: "mangobank_peer_links_opened_total",
    help: "Links to other processes of the system that were opened",
    registers: [registry],
    collect() {
      this.reset();
      this.inc(traffic().openedLinks ?? 0);
    },
  });
  new Counter({
    name: "mangobank_peer_connections_closed_total",
    help: "Connections to other processes that were closed, by fault",
    labelNames: ["fault"],
    registers: [registry],
    collect() {
      this.reset();
      for (const [fault, connections] of traffic().closedByFault ?? []) {
        this.inc({ fault }, connections);
      }
    },
  });
}
