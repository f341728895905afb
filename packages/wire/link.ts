import type { Socket } from "node:net";
import * as z from "zod";
import { type Clock, MESSAGE_VALUES } from "#model";
import { afterPendingInput } from "./after_input.ts";
import {
  type EncodedMessage,
  encodeMessage,
  type FrameFault,
  FrameReader,
  type KeyEncoding,
  MAX_FRAME_BYTES,
} from "./frames.ts";
import { MAX_MESSAGE_BYTES } from "./message_parts.ts";
import type { Hello } from "./messages.ts";
import { commonVersion, describeVersions } from "./protocol_versions.ts";
import type { MessageRefusal } from "./refused_messages.ts";
import { SHORT_KEYS } from "./short_keys.ts";

/** Keepalive times of a link. */
interface KeepaliveTimes {
  /** Time without sent data after which a ping is sent. */
  readonly pingAfterMs: number;
  /** Time without received data after which the link is closed as dead. */
  readonly deadAfterMs: number;
}

/**
 * Links with an entry at either end. Entries exchange summaries every 2 s, so
 * that a ping is sent only where these are not. A lost control host is found
 * sooner, by an unanswered heartbeat.
 */
const ENTRY_KEEPALIVE: KeepaliveTimes = {
  pingAfterMs: 2_200,
  deadAfterMs: 4_500,
};
/** Links between control hosts, whose loss delays the replicated log. */
const CONTROL_KEEPALIVE: KeepaliveTimes = {
  pingAfterMs: 400,
  deadAfterMs: 1_400,
};
/** Unsent bytes above which a peer that reads too slowly is disconnected. */
const MAX_UNSENT_BYTES = 8 * 1024 * 1024;

/** Messages of one turn that are joined to one write. */
const MAX_JOINED_BYTES = 64 * 1024;

/** Why a link was closed. */
export type LinkFault =
  | FrameFault
  | { readonly type: "link_closed" }
  | { readonly type: "link_replaced" }
  | { readonly type: "link_silent"; readonly ms: number }
  | { readonly type: "link_congested"; readonly unsentBytes: number }
  | { readonly type: "hello_missing" }
  | { readonly type: "hello_refused"; readonly detail: string };

export interface LinkEvents {
  readonly onOpen: (link: Link) => void;
  readonly onClose: (link: Link, fault: LinkFault) => void;
  readonly onMessage: (link: Link, kind: string, payload: unknown) => void;
  /** Called for a message whose handler has thrown. */
  readonly onRefused: (link: Link, refusal: MessageRefusal) => void;
}

/** Byte counts of all links of a process. */
export interface Traffic {
  sentBytes: number;
  receivedBytes: number;
  /** Bytes of the frames sent, by message kind. */
  readonly sentByKind: Map<string, number>;
  /** Number of messages sent, by message kind. */
  readonly messagesByKind: Map<string, number>;
  /** Messages of peers that were refused, by message kind. */
  readonly refusedByKind: Map<string, number>;
  /** Links that were opened, with the peer's hello. */
  openedLinks: number;
  /** Connections to and from peers that were closed, by the fault that closed them. */
  readonly closedByFault: Map<LinkFault["type"], number>;
}

export interface LinkOptions {
  readonly self: Hello;
  readonly clock: Clock;
  readonly events: LinkEvents;
  readonly traffic: Traffic;
  /** Present if this process has opened the connection. */
  readonly connection?: Hello["connection"];
}

/** One TCP connection to another process of mangobank. */
export class Link {
  readonly #socket: Socket;
  readonly #options: LinkOptions;
  readonly #reader = new FrameReader();
  #peer: Hello | undefined;
  #open = true;
  #fault: LinkFault["type"] | undefined;
  #lastSent: number;
  #lastReceived: number;
  #receivedBytes = 0;
  #pending: Buffer[] = [];
  /** What has arrived before the link was opened; undefined afterwards. */
  #greeting: Buffer[] | undefined = [];

  constructor(socket: Socket, options: LinkOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#lastSent = options.clock.now();
    this.#lastReceived = this.#lastSent;
    socket.setNoDelay(true);
    socket.on("data", (chunk) => this.#handleData(chunk));
    socket.on("error", () => this.close({ type: "link_closed" }));
    socket.on("close", () => this.close({ type: "link_closed" }));
    const { self, connection } = options;
    this.send("hello", {
      ...self,
      shortKeys: SHORT_KEYS.length,
      maxMessageBytes: MAX_MESSAGE_BYTES,
      ...(connection !== undefined && { connection }),
    });
  }

  /** The peer's hello message; undefined until it has arrived. */
  get peer(): Hello | undefined {
    return this.#peer;
  }

  get open(): boolean {
    return this.#open;
  }

  /** Whether something has arrived that is read in a later turn. */
  get isGreeting(): boolean {
    return this.#greeting !== undefined && this.#greeting.length > 0;
  }

  get isOutgoing(): boolean {
    return this.#options.connection !== undefined;
  }

  /** Why it was closed; undefined while it is open. */
  get fault(): LinkFault["type"] | undefined {
    return this.#fault;
  }

  get receivedBytes(): number {
    return this.#receivedBytes;
  }

  /** Time without received data, in milliseconds. */
  get silenceMs(): number {
    return this.#options.clock.now() - this.#lastReceived;
  }

  /** How field names are encoded on this link; depends on the peer's hello. */
  get keyEncoding(): KeyEncoding {
    const peerKeyCount = this.#peer?.shortKeys ?? 0;
    return peerKeyCount >= SHORT_KEYS.length ? "short" : "full";
  }

  /** Longest message that the peer takes; depends on its hello. */
  get maxMessageBytes(): number {
    return this.#peer?.maxMessageBytes ?? MAX_FRAME_BYTES;
  }

  /** Queues a message; messages of one event loop turn are written together. */
  send(kind: string, payload: unknown): boolean {
    if (!this.#open) return false;
    const message = encodeMessage(kind, payload, { keys: this.keyEncoding });
    if (message.isOk()) return this.sendEncoded(kind, message.value);
    this.close(message.error);
    return false;
  }

  /** Queues an already encoded message, which several links may share. */
  sendEncoded(kind: string, { bytes, pieces }: EncodedMessage): boolean {
    if (!this.#open) return false;
    if (bytes > this.maxMessageBytes) {
      this.close({ type: "frame_too_long", bytes });
      return false;
    }
    const { sentByKind, messagesByKind } = this.#options.traffic;
    const sentBytes = pieces.reduce((sum, { length }) => sum + length, 0);
    sentByKind.set(kind, (sentByKind.get(kind) ?? 0) + sentBytes);
    messagesByKind.set(kind, (messagesByKind.get(kind) ?? 0) + 1);
    if (this.#pending.length === 0) setImmediate(() => this.#flush());
    this.#pending.push(...pieces);
    return true;
  }

  /**
   * Sends a ping or closes a dead link, if due; called a few times a second.
   */
  checkKeepalive(): void {
    // Until the hello, which may be late at a busy peer, its own timeout applies.
    if (!this.#open || !this.#peer) return;
    const { silenceMs } = this;
    const { pingAfterMs, deadAfterMs } = this.#keepalive;
    if (silenceMs > deadAfterMs) {
      this.close({ type: "link_silent", ms: Math.round(silenceMs) });
      return;
    }
    const now = this.#options.clock.now();
    if (now - this.#lastSent >= pingAfterMs) this.send("ping", null);
  }

  get #keepalive(): KeepaliveTimes {
    const roles = [this.#options.self.role, this.#peer?.role];
    return roles.includes("entry") ? ENTRY_KEEPALIVE : CONTROL_KEEPALIVE;
  }

  close(fault: LinkFault): void {
    if (!this.#open) return;
    this.#open = false;
    this.#fault = fault.type;
    this.#pending = [];
    this.#socket.destroy();
    this.#options.events.onClose(this, fault);
  }

  #flush(): void {
    if (!this.#open) return;
    const pieces = this.#pending;
    const bytes = pieces.reduce((sum, { length }) => sum + length, 0);
    this.#pending = [];
    this.#lastSent = this.#options.clock.now();
    this.#options.traffic.sentBytes += bytes;
    if (bytes <= MAX_JOINED_BYTES) this.#socket.write(Buffer.concat(pieces));
    else this.#writeAll(pieces);
    const unsentBytes = this.#socket.writableLength;
    if (unsentBytes > MAX_UNSENT_BYTES) {
      this.close({ type: "link_congested", unsentBytes });
    }
  }

  /** Writes what may be shared with other links, without a copy for this one. */
  #writeAll(pieces: readonly Buffer[]): void {
    this.#socket.cork();
    for (const piece of pieces) this.#socket.write(piece);
    this.#socket.uncork();
  }

  #handleData(chunk: Buffer): void {
    if (!this.#open) return;
    this.#lastReceived = this.#options.clock.now();
    this.#receivedBytes += chunk.length;
    this.#options.traffic.receivedBytes += chunk.length;
    if (!this.#greeting) {
      this.#read(chunk);
      return;
    }
    this.#greeting.push(chunk);
    if (this.#greeting.length > 1) return;
    // The end of a connection is read one turn after the bytes before it.
    afterPendingInput(() => afterPendingInput(() => this.#greet()));
  }

  /**
   * Reads what has arrived first, unless the connection has ended since: a process
   * that is behind with its input reads the hello of a connection that its opener
   * has given up, and must not do the work for a new peer for it.
   */
  #greet(): void {
    const greeting = Buffer.concat(this.#greeting ?? []);
    this.#greeting = undefined;
    if (this.#socket.readableEnded || this.#socket.destroyed) {
      this.close({ type: "link_closed" });
      return;
    }
    this.#read(greeting);
  }

  #read(chunk: Buffer): void {
    if (!this.#open) return;
    const frames = this.#reader.push(chunk);
    if (frames.isErr()) {
      this.close(frames.error);
      return;
    }
    for (const { kind, payload } of frames.value) {
      if (!this.#open) return;
      if (this.#peer === undefined) this.#handleHello(kind, payload);
      else if (kind !== "ping") this.#deliver(kind, payload);
    }
  }

  #deliver(kind: string, payload: unknown): void {
    try {
      this.#options.events.onMessage(this, kind, payload);
    } catch (cause) {
      // The link stays: its peer would send the message over the next one too.
      const detail = String(cause instanceof Error ? cause.stack : cause);
      this.#options.events.onRefused(this, { kind, detail });
    }
  }

  #handleHello(kind: string, payload: unknown): void {
    const decoded = HELLO.safeParse(payload);
    if (kind !== "hello" || !decoded.success) {
      this.close({ type: "hello_missing" });
      return;
    }
    const hello: Hello = decoded.data;
    const { self } = this.#options;
    if (hello.cluster !== self.cluster) {
      const detail = `cluster is ${hello.cluster}, expected ${self.cluster}`;
      this.close({ type: "hello_refused", detail });
      return;
    }
    if (commonVersion(self, hello) === undefined) {
      const detail =
        `the peer speaks version ${describeVersions(hello)}, ` +
        `this build ${describeVersions(self)}`;
      this.close({ type: "hello_refused", detail });
      return;
    }
    this.#peer = hello;
    this.#options.events.onOpen(this);
  }
}

/** What a hello must say for its sender to be known by it. */
const HELLO = z.looseObject({
  id: z.string().min(1),
  role: z.enum(["entry", "control"]),
  incarnation: MESSAGE_VALUES.count,
  cluster: z.string(),
  version: MESSAGE_VALUES.count,
  newestVersion: MESSAGE_VALUES.count.optional(),
  build: z.string().optional(),
  shortKeys: MESSAGE_VALUES.count.optional(),
  maxMessageBytes: MESSAGE_VALUES.count.optional(),
  connection: z
    .object({ channel: MESSAGE_VALUES.count, number: MESSAGE_VALUES.count })
    .optional(),
}) satisfies z.ZodType<Hello>;
