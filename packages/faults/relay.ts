import { connect, createServer, type Server, type Socket } from "node:net";
import type { HostId } from "#model";

const HOST = "127.0.0.1";

/**
 * Forwards the connections from one process to another, and can stop without
 * closing them, as a silent partition does. What was sent in the meantime
 * arrives after the partition, as with TCP's retransmissions.
 */
export class Relay {
  /** Payload bytes forwarded in either direction. */
  bytes = 0;
  readonly #target: number;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** What the partition holds back: new connections and closed ones. */
  #held: (() => void)[] = [];
  #cut = false;

  constructor(target: number) {
    this.#target = target;
    this.#server = createServer({ pauseOnConnect: true }, (inbound) => {
      this.#sockets.add(inbound);
      inbound.on("error", () => undefined);
      this.#whenWhole(() => this.#open(inbound));
    });
  }

  /** Listens on any free port. */
  listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, HOST, () => {
        const bound = this.#server.address();
        resolve(typeof bound === "object" && bound ? bound.port : 0);
      });
    });
  }

  cut(): void {
    this.#cut = true;
    for (const socket of this.#sockets) socket.pause();
  }

  heal(): void {
    this.#cut = false;
    for (const socket of this.#sockets) socket.resume();
    const held = this.#held;
    this.#held = [];
    for (const step of held) step();
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #open(inbound: Socket): void {
    const outbound = connect({ host: HOST, port: this.#target });
    this.#sockets.add(outbound);
    outbound.on("error", () => undefined);
    this.#forward(inbound, outbound);
    this.#forward(outbound, inbound);
  }

  #forward(from: Socket, to: Socket): void {
    from.on("data", (chunk: Buffer) => {
      this.bytes += chunk.length;
      if (to.write(chunk)) return;
      from.pause();
      to.once("drain", () => {
        if (!this.#cut) from.resume();
      });
    });
    from.once("close", () => {
      this.#sockets.delete(from);
      this.#whenWhole(() => to.destroySoon());
    });
    if (!this.#cut) from.resume();
  }

  #whenWhole(step: () => void): void {
    if (this.#cut) this.#held.push(step);
    else step();
  }
}

interface Pair {
  readonly from: HostId;
  readonly to: HostId;
  readonly relay: Relay;
}

/** A relay for each ordered pair of processes that may connect. */
export class RelayMesh {
  readonly #pairs: Pair[] = [];

  /** Adds a relay; returns the port that `from` uses to reach `to`. */
  add(pair: { from: HostId; to: HostId; port: number }): Promise<number> {
    const { from, to, port } = pair;
    const relay = new Relay(port);
    this.#pairs.push({ from, to, relay });
    return relay.listen();
  }

  /** Cuts the hosts off from all others silently; they reach each other. */
  isolate(...hosts: readonly HostId[]): void {
    for (const { from, to, relay } of this.#pairs) {
      if (hosts.includes(from) !== hosts.includes(to)) relay.cut();
    }
  }

  /** Ends all partitions. */
  heal(): void {
    for (const { relay } of this.#pairs) relay.heal();
  }

  /** Payload bytes to and from a host. */
  bytes(host: HostId): number {
    return this.#pairs
      .filter(({ from, to }) => from === host || to === host)
      .reduce((sum, { relay }) => sum + relay.bytes, 0);
  }

  close(): void {
    for (const { relay } of this.#pairs) relay.close();
  }
}
