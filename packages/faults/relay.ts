import { connect, createServer, type Server, type Socket } from "node:net";
import type { HostId } from "#model";

const LOOPBACK = "127.0.0.1";

/**
 * A TCP proxy from one process to another that simulates silent partitions:
 * while it is cut, it forwards nothing and keeps connections open. Data that is
 * sent meanwhile arrives after the partition, as with TCP's retransmissions. It
 * can also forget its open connections, while new ones work.
 */
export class Relay {
  /** Payload bytes forwarded in either direction. */
  forwardedBytes = 0;
  readonly #target: number;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  /** Sockets on which nothing is forwarded any more. */
  readonly #forgotten = new WeakSet<Socket>();
  /** Connects and closes to perform after the partition. */
  #deferred: (() => void)[] = [];
  #cut = false;

  constructor(target: number) {
    this.#target = target;
    this.#server = createServer({ pauseOnConnect: true }, (inbound) => {
      this.#sockets.add(inbound);
      inbound.on("error", () => undefined);
      this.#runOrDefer(() => this.#connectToTarget(inbound));
    });
  }

  /** Listens on any free port and returns it. */
  listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, LOOPBACK, () => {
        const bound = this.#server.address();
        resolve(typeof bound === "object" && bound ? bound.port : 0);
      });
    });
  }

  /** Stops forwarding without closing connections. */
  cut(): void {
    this.#cut = true;
    for (const socket of this.#sockets) socket.pause();
  }

  /** Forwards again, beginning with what was held back. */
  heal(): void {
    this.#cut = false;
    for (const socket of this.#sockets) socket.resume();
    const deferred = this.#deferred;
    this.#deferred = [];
    for (const action of deferred) action();
  }

  /** Silences the open connections for good, without closing them. */
  forget(): void {
    for (const socket of this.#sockets) this.#forgotten.add(socket);
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #connectToTarget(inbound: Socket): void {
    const outbound = connect({ host: LOOPBACK, port: this.#target });
    this.#sockets.add(outbound);
    outbound.on("error", () => undefined);
    this.#forward(inbound, outbound);
    this.#forward(outbound, inbound);
  }

  #forward(from: Socket, to: Socket): void {
    from.on("data", (chunk: Buffer) => {
      if (this.#forgotten.has(from)) return;
      this.forwardedBytes += chunk.length;
      if (to.write(chunk)) return;
      from.pause();
      to.once("drain", () => {
        if (!this.#cut) from.resume();
      });
    });
    from.once("close", () => {
      this.#sockets.delete(from);
      if (this.#forgotten.has(from)) return;
      this.#runOrDefer(() => to.destroySoon());
    });
    if (!this.#cut) from.resume();
  }

  #runOrDefer(action: () => void): void {
    if (this.#cut) this.#deferred.push(action);
    else action();
  }
}

/** The relay for connections from one host to another. */
interface RelayLink {
  readonly from: HostId;
  readonly to: HostId;
  readonly relay: Relay;
}

/** The relays between all hosts, one for each direction of connecting. */
export class RelayMesh {
  readonly #links: RelayLink[] = [];

  /** Adds a relay; returns the port that `from` uses to reach `to`. */
  add(link: { from: HostId; to: HostId; port: number }): Promise<number> {
    const { from, to, port } = link;
    const relay = new Relay(port);
    this.#links.push({ from, to, relay });
    return relay.listen();
  }

  /**
   * Partitions the given hosts from all others; they still reach each other.
   */
  isolate(...hosts: readonly HostId[]): void {
    for (const { from, to, relay } of this.#links) {
      if (hosts.includes(from) !== hosts.includes(to)) relay.cut();
    }
  }

  /** Ends all partitions. */
  heal(): void {
    for (const { relay } of this.#links) relay.heal();
  }

  /** Payload bytes that were forwarded to and from a host. */
  bytes(host: HostId): number {
    return this.#links
      .filter(({ from, to }) => from === host || to === host)
      .reduce((sum, { relay }) => sum + relay.forwardedBytes, 0);
  }

  close(): void {
    for (const { relay } of this.#links) relay.close();
  }
}
