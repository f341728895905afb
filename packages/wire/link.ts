import type { Socket } from "node:net";
import type { Clock } from "#model";
import {
  encodeFrame,
  type FrameFault,
  type FrameKeys,
  FrameReader,
} from "./frames.ts";
import { type Hello, PROTOCOL_VERSION } from "./messages.ts";
import { SHORT_KEYS } from "./short_keys.ts";

/** Silence of a link, in milliseconds. */
interface Patience {
  /** After it, an idle link sends a ping. */
  readonly pingAfterMs: number;
  /** After it, a link counts as dead (a silent partition). */
  readonly deadAfterMs: number;
}

const BETWEEN_ENTRIES: Patience = { pingAfterMs: 1_000, deadAfterMs: 3_500 };
/**
 * Changes and leaves reach entries over these links, and must do so within two
 * seconds of their acknowledgement, also after a link fell silent.
 */
const WITH_CONTROL: Patience = { pingAfterMs: 400, deadAfterMs: 1_400 };
/** Unsent bytes above which a peer that does not read is disconnected. */
const MAX_UNSENT_BYTES = 8 * 1024 * 1024;

/** Why a link was closed. */
export type LinkFault =
  | FrameFault
  | { readonly type: "link_closed" }
  | { readonly type: "link_silent"; readonly ms: number }
  | { readonly type: "link_congested"; readonly unsentBytes: number }
  | { readonly type: "hello_missing" }
  | { readonly type: "hello_refused"; readonly detail: string }
  | { readonly type: "payload_refused"; readonly detail: string };

export interface LinkEvents {
  readonly opened: (link: Link) => void;
  readonly closed: (link: Link, fault: LinkFault) => void;
  readonly message: (link: Link, kind: string, payload: unknown) => void;
}

export interface Traffic {
  sentBytes: number;
  receivedBytes: number;
  /** Bytes of the frames sent, by message kind. */
  readonly sentByKind: Map<string, number>;
}

export interface LinkOptions {
  readonly self: Hello;
  readonly clock: Clock;
  readonly events: LinkEvents;
  readonly traffic: Traffic;
}

/** One TCP connection to another process of the system. */
export class Link {
  readonly #socket: Socket;
  readonly #options: LinkOptions;
  readonly #reader = new FrameReader();
  #peer: Hello | undefined;
  #open = true;
  #lastSent: number;
  #lastReceived: number;
  #batch: Buffer[] = [];

  constructor(socket: Socket, options: LinkOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#lastSent = options.clock.now();
    this.#lastReceived = this.#lastSent;
    socket.setNoDelay(true);
    socket.on("data", (chunk) => this.#receive(chunk));
    socket.on("error", () => this.close({ type: "link_closed" }));
    socket.on("close", () => this.close({ type: "link_closed" }));
    this.send("hello", { ...options.self, shortKeys: SHORT_KEYS.length });
  }

  /** The other side's hello, once it has arrived. */
  get peer(): Hello | undefined {
    return this.#peer;
  }

  get open(): boolean {
    return this.#open;
  }

  /** How field names are sent on this link. */
  get keys(): FrameKeys {
    const known = this.#peer?.shortKeys ?? 0;
    return known >= SHORT_KEYS.length ? "short" : "spelled";
  }

  /** Queues a message; messages of one event loop turn share a write. */
  send(kind: string, payload: unknown): boolean {
    if (!this.#open) return false;
    const frame = encodeFrame(kind, payload, { keys: this.keys });
    if (frame.isErr()) {
      this.close(frame.error);
      return false;
    }
    return this.sendFrame(kind, frame.value);
  }

  /** Queues a message that is encoded already, for several links at once. */
  sendFrame(kind: string, frame: Buffer): boolean {
    if (!this.#open) return false;
    const { sentByKind } = this.#options.traffic;
    sentByKind.set(kind, (sentByKind.get(kind) ?? 0) + frame.length);
    this.#batch.push(frame);
    if (this.#batch.length === 1) setImmediate(() => this.#flush());
    return true;
  }

  /** Sends pings and detects a silent peer; called a few times a second. */
  check(): void {
    if (!this.#open) return;
    const now = this.#options.clock.now();
    const silence = now - this.#lastReceived;
    const { pingAfterMs, deadAfterMs } = this.#patience;
    if (silence > deadAfterMs) {
      this.close({ type: "link_silent", ms: Math.round(silence) });
      return;
    }
    if (now - this.#lastSent >= pingAfterMs) this.send("ping", null);
  }

  get #patience(): Patience {
    const roles = [this.#options.self.role, this.#peer?.role];
    return roles.includes("control") ? WITH_CONTROL : BETWEEN_ENTRIES;
  }

  close(fault: LinkFault): void {
    if (!this.#open) return;
    this.#open = false;
    this.#batch = [];
    this.#socket.destroy();
    this.#options.events.closed(this, fault);
  }

  #flush(): void {
    if (!this.#open) return;
    const bytes = Buffer.concat(this.#batch);
    this.#batch = [];
    this.#lastSent = this.#options.clock.now();
    this.#options.traffic.sentBytes += bytes.length;
    this.#socket.write(bytes);
    const unsentBytes = this.#socket.writableLength;
    if (unsentBytes > MAX_UNSENT_BYTES) {
      this.close({ type: "link_congested", unsentBytes });
    }
  }

  #receive(chunk: Buffer): void {
    if (!this.#open) return;
    this.#lastReceived = this.#options.clock.now();
    this.#options.traffic.receivedBytes += chunk.length;
    const frames = this.#reader.push(chunk);
    if (frames.isErr()) {
      this.close(frames.error);
      return;
    }
    for (const { kind, payload } of frames.value) {
      if (!this.#open) return;
      if (this.#peer === undefined) this.#greet(kind, payload);
      else if (kind !== "ping") this.#deliver(kind, payload);
    }
  }

  #deliver(kind: string, payload: unknown): void {
    try {
      this.#options.events.message(this, kind, payload);
    } catch (cause) {
      // A malformed payload must not stop the process.
      const detail = `${kind}: ${cause instanceof Error ? cause.stack : cause}`;
      this.close({ type: "payload_refused", detail });
    }
  }

  #greet(kind: string, payload: unknown): void {
    if (kind !== "hello" || !isHello(payload)) {
      this.close({ type: "hello_missing" });
      return;
    }
    const { self } = this.#options;
    if (payload.cluster !== self.cluster) {
      const detail = `cluster is ${payload.cluster}, expected ${self.cluster}`;
      this.close({ type: "hello_refused", detail });
      return;
    }
    if (payload.version !== PROTOCOL_VERSION) {
      const detail = `version is ${payload.version}, expected ${PROTOCOL_VERSION}`;
      this.close({ type: "hello_refused", detail });
      return;
    }
    this.#peer = payload;
    this.#options.events.opened(this);
  }
}

function isHello(payload: unknown): payload is Hello {
  if (typeof payload !== "object" || payload === null) return false;
  const hello = payload as Record<string, unknown>;
  return (
    typeof hello.id === "string" &&
    (hello.role === "entry" || hello.role === "control") &&
    typeof hello.incarnation === "number" &&
    typeof hello.cluster === "string" &&
    typeof hello.version === "number"
  );
}
