import { connect, createServer, type Server, type Socket } from "node:net";
import type { Result } from "neverthrow";
import type { Address, Clock, HostId } from "#model";
import { encodeFrame } from "./frames.ts";
import { Link, type LinkFault, type Traffic } from "./link.ts";
import { type ListenFault, listen } from "./listen.ts";
import type { Hello, MessageMap } from "./messages.ts";

const CHECK_EVERY_MS = 250;
const RECONNECT_AFTER_MS = 250;
const CONNECT_TIMEOUT_MS = 2_000;
/** A connection without a hello by then is closed. */
const HELLO_TIMEOUT_MS = 2_000;
/** Connections accepted at a time, so that strangers cannot exhaust memory. */
const MAX_ACCEPTED = 2_048;

/** A process to keep a connection to. */
export interface Peer {
  /** Unknown until its hello where only the address is configured. */
  readonly id?: HostId;
  readonly address: Address;
}

export interface NetworkObserver {
  readonly up?: (peer: Hello) => void;
  readonly down?: (peer: Hello) => void;
  readonly fault?: (fault: LinkFault, peer: Hello | undefined) => void;
}

type Handler = (payload: unknown, from: Hello) => void;

/** The port through which the roles exchange messages. */
export interface Network<M extends MessageMap> {
  /** Sends to a connected process; false if there is no connection. */
  send<K extends keyof M & string>(to: HostId, kind: K, payload: M[K]): boolean;
  /** Sends the same message to several processes, encoded once. */
  broadcast<K extends keyof M & string>(
    to: readonly HostId[],
    kind: K,
    payload: M[K],
  ): void;
  /** Registers the only handler of a message kind. */
  handle<K extends keyof M & string>(
    kind: K,
    handler: (payload: M[K], from: Hello) => void,
  ): void;
}

/** Connections to other processes of the system over TCP. */
export class TcpNetwork<M extends MessageMap> implements Network<M> {
  readonly traffic: Traffic = {
    sentBytes: 0,
    receivedBytes: 0,
    sentByKind: new Map(),
  };
  readonly #self: Hello;
  readonly #clock: Clock;
  readonly #observer: NetworkObserver;
  readonly #handlers = new Map<string, Handler>();
  readonly #links = new Map<HostId, Link[]>();
  readonly #accepted = new Set<Link>();
  readonly #dials = new Map<string, Dial>();
  readonly #timer: NodeJS.Timeout;
  #server: Server | undefined;

  constructor(options: {
    self: Hello;
    clock: Clock;
    observer?: NetworkObserver;
  }) {
    this.#self = options.self;
    this.#clock = options.clock;
    this.#observer = options.observer ?? {};
    this.#timer = setInterval(() => this.#check(), CHECK_EVERY_MS);
  }

  /** Accepts connections at an address. */
  listen(address: Address): Promise<Result<Address, ListenFault>> {
    this.#server = createServer((socket) => this.#accept(socket));
    return listen(this.#server, address);
  }

  /** Sets the processes to keep a connection to; others are disconnected. */
  connect(peers: readonly Peer[]): void {
    const wanted = new Map(peers.map((peer) => [dialKey(peer), peer]));
    for (const [key, dial] of this.#dials) {
      if (wanted.has(key)) continue;
      dial.stop();
      this.#dials.delete(key);
    }
    for (const [key, peer] of wanted) {
      if (this.#dials.has(key)) continue;
      const dial = new Dial(peer.address, (socket) => this.#attach(socket));
      this.#dials.set(key, dial);
    }
  }

  send<K extends keyof M & string>(to: HostId, kind: K, payload: M[K]) {
    const link = this.#links.get(to)?.find((candidate) => candidate.open);
    return link?.send(kind, payload) ?? false;
  }

  broadcast<K extends keyof M & string>(
    to: readonly HostId[],
    kind: K,
    payload: M[K],
  ): void {
    const links = to.flatMap(
      (id) => this.#links.get(id)?.find(({ open }) => open) ?? [],
    );
    for (const keys of ["short", "spelled"] as const) {
      const alike = links.filter((link) => link.keys === keys);
      if (alike.length === 0) continue;
      encodeFrame(kind, payload, { keys }).match(
        (frame) => {
          for (const link of alike) link.sendFrame(kind, frame);
        },
        (fault) => this.#observer.fault?.(fault, undefined),
      );
    }
  }

  handle<K extends keyof M & string>(
    kind: K,
    handler: (payload: M[K], from: Hello) => void,
  ): void {
    this.#handlers.set(kind, handler as Handler);
  }

  /** The processes with an open connection. */
  connected(): Hello[] {
    const peers: Hello[] = [];
    for (const links of this.#links.values()) {
      const peer = links[0]?.peer;
      if (peer) peers.push(peer);
    }
    return peers;
  }

  isConnected(id: HostId): boolean {
    return this.#links.has(id);
  }

  close(): void {
    clearInterval(this.#timer);
    this.connect([]);
    this.#server?.close();
    for (const link of this.#allLinks()) link.close({ type: "link_closed" });
  }

  #accept(socket: Socket): void {
    if (this.#accepted.size >= MAX_ACCEPTED) {
      socket.destroy();
      return;
    }
    const link = this.#attach(socket);
    this.#accepted.add(link);
    socket.once("close", () => this.#accepted.delete(link));
  }

  #attach(socket: Socket): Link {
    const link = new Link(socket, {
      self: this.#self,
      clock: this.#clock,
      traffic: this.traffic,
      events: {
        opened: (opened) => this.#opened(opened),
        closed: (closed, fault) => this.#closed(closed, fault),
        message: (from, kind, payload) => this.#message(from, kind, payload),
      },
    });
    setTimeout(() => {
      if (!link.peer) link.close({ type: "hello_missing" });
    }, HELLO_TIMEOUT_MS).unref();
    return link;
  }

  #opened(link: Link): void {
    const peer = link.peer;
    if (!peer) return;
    const links = this.#links.get(peer.id);
    if (links) {
      links.push(link);
      return;
    }
    this.#links.set(peer.id, [link]);
    this.#observer.up?.(peer);
  }

  #closed(link: Link, fault: LinkFault): void {
    this.#observer.fault?.(fault, link.peer);
    const peer = link.peer;
    if (!peer) return;
    const rest = (this.#links.get(peer.id) ?? []).filter((l) => l !== link);
    if (rest.length > 0) {
      this.#links.set(peer.id, rest);
      return;
    }
    this.#links.delete(peer.id);
    this.#observer.down?.(peer);
  }

  #message(link: Link, kind: string, payload: unknown): void {
    const peer = link.peer;
    if (!peer) return;
    this.#handlers.get(kind)?.(payload, peer);
  }

  #check(): void {
    for (const link of this.#allLinks()) link.check();
  }

  #allLinks(): Set<Link> {
    return new Set([...this.#accepted, ...[...this.#links.values()].flat()]);
  }
}

/** Keeps one outgoing connection open. */
class Dial {
  readonly #address: Address;
  readonly #attach: (socket: Socket) => Link;
  #link: Link | undefined;
  #socket: Socket | undefined;
  #retry: NodeJS.Timeout | undefined;
  #stopped = false;

  constructor(address: Address, attach: (socket: Socket) => Link) {
    this.#address = address;
    this.#attach = attach;
    this.#dial();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#retry);
    if (this.#link) this.#link.close({ type: "link_closed" });
    else this.#socket?.destroy();
  }

  #dial(): void {
    const { host, port } = this.#address;
    const socket = connect({ host, port });
    this.#socket = socket;
    const timeout = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    socket.once("connect", () => {
      clearTimeout(timeout);
      if (!this.#stopped) this.#link = this.#attach(socket);
    });
    socket.on("error", () => undefined);
    socket.once("close", () => {
      clearTimeout(timeout);
      this.#link = undefined;
      if (this.#stopped) return;
      this.#retry = setTimeout(() => this.#dial(), RECONNECT_AFTER_MS);
    });
  }
}

function dialKey(peer: Peer): string {
  return `${peer.id ?? ""}@${peer.address.host}:${peer.address.port}`;
}
