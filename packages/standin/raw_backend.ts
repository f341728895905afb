import { Agent } from "node:http";
import { createServer, type Server, type Socket } from "node:net";
import type { Address } from "#model";
import { Announcer } from "./announcer.ts";

const SLOTS = 6;
const HEAD_END = "\r\n\r\n";
const PROBE_PATH = "/.mangobank/load";
const PROBE_BODY = JSON.stringify({ in_flight: 0, slots: SLOTS });
const PROBE_RESPONSE =
  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" +
  `Content-Length: ${PROBE_BODY.length}\r\n\r\n${PROBE_BODY}`;

/** Writes the bytes of one response, whether they are HTTP or not. */
export type RawResponse = (socket: Socket, request: RawRequest) => void;

export interface RawRequest {
  readonly path: string;
}

export interface RawBackendOptions {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly entries: () => readonly Address[];
  readonly respond: RawResponse;
  /** Whether probes are also answered by `respond`; false if absent. */
  readonly respondsToProbes?: boolean;
}

/**
 * A backend server that registers itself and answers requests with bytes of
 * the test's choice. Requests must have no body.
 */
export class RawBackend {
  /** Requests that arrived, without probes. */
  requests = 0;
  /** Probes that arrived. */
  probes = 0;
  /** Connections that were opened so far. */
  connections = 0;
  #bytesWritten = 0;
  readonly #options: RawBackendOptions;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  readonly #agent = new Agent();
  readonly #incarnation = Date.now();
  readonly #announcer: Announcer;
  #sequence = 0;

  constructor(options: RawBackendOptions) {
    this.#options = options;
    this.#server = createServer((socket) => this.#accept(socket));
    const { id, entries } = options;
    this.#announcer = new Announcer({
      id,
      entries,
      registrations: 1,
      agent: this.#agent,
      nextAnnouncement: () => this.#announcement(),
      paused: () => false,
    });
  }

  /** Number of connections that are open. */
  get openConnections(): number {
    return this.#sockets.size;
  }

  /** Bytes that were written so far, as far as the kernel took them. */
  get bytesWritten(): number {
    let bytes = this.#bytesWritten;
    for (const socket of this.#sockets) bytes += socket.bytesWritten;
    return bytes;
  }

  get port(): number {
    const bound = this.#server.address();
    return typeof bound === "object" && bound ? bound.port : 0;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    this.#announcer.start();
  }

  close(): void {
    this.#announcer.stop();
    this.#agent.destroy();
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(socket: Socket): void {
    this.connections += 1;
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => undefined);
    socket.once("close", () => {
      this.#sockets.delete(socket);
      this.#bytesWritten += socket.bytesWritten;
    });
    let received = "";
    socket.on("data", (chunk) => {
      received += chunk.toString("latin1");
      for (;;) {
        const end = received.indexOf(HEAD_END);
        if (end < 0) return;
        const path = received.split(" ", 2)[1] ?? "";
        received = received.slice(end + HEAD_END.length);
        this.#respond(socket, { path });
      }
    });
  }

  #respond(socket: Socket, request: RawRequest): void {
    const { respond, respondsToProbes = false } = this.#options;
    const isProbe = request.path === PROBE_PATH;
    if (isProbe) this.probes += 1;
    else this.requests += 1;
    if (isProbe && !respondsToProbes) socket.write(PROBE_RESPONSE);
    else respond(socket, request);
  }

  #announcement() {
    const { service, dataCentre } = this.#options;
    this.#sequence += 1;
    return {
      service,
      host: "127.0.0.1",
      port: this.port,
      data_centre: dataCentre,
      incarnation: this.#incarnation,
      sequence: this.#sequence,
      state: "ready",
      slots: SLOTS,
      connections: 300,
      in_flight: 0,
      started_ms_ago: 60_000,
    } as const;
  }
}

/** Size of the writes of `writeWithoutEnd` at full speed. */
const WRITE_BYTES = 64 * 1024;

/**
 * Writes `first` and then `piece` again and again until the connection closes:
 * as fast as the reader takes it, or a byte at a time.
 */
export function writeWithoutEnd(
  socket: Socket,
  bytes: { first?: string; piece: string; byteIntervalMs?: number },
): void {
  const { first = "", piece, byteIntervalMs } = bytes;
  if (byteIntervalMs !== undefined) {
    writeBytewise(socket, { first, piece, byteIntervalMs });
    return;
  }
  if (first) socket.write(first);
  const repeated = piece.repeat(Math.ceil(WRITE_BYTES / piece.length));
  const block = Buffer.from(repeated, "latin1");
  const write = () => {
    if (socket.destroyed) return;
    // The other sockets of this process also get their turn.
    if (socket.write(block)) setImmediate(write);
    else socket.once("drain", write);
  };
  write();
}

function writeBytewise(
  socket: Socket,
  bytes: { first: string; piece: string; byteIntervalMs: number },
): void {
  const { first, piece, byteIntervalMs } = bytes;
  if (first) socket.write(first);
  let sent = 0;
  const timer = setInterval(() => {
    socket.write(piece.charAt(sent % piece.length));
    sent += 1;
  }, byteIntervalMs);
  socket.once("close", () => clearInterval(timer));
}
