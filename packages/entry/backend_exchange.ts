import type {
  ClientRequest,
  IncomingMessage,
  InformationEvent,
} from "node:http";
import type { Socket } from "node:net";
import { afterPendingInput } from "#wire";
import type { BackendRequest } from "./backend_request.ts";
import {
  boundFailure,
  collectResponse,
  type RequestResult,
  type ResponseHead,
} from "./backend_response.ts";
import type { ReceiveGuard } from "./receive_guard.ts";
import type { ExceededBound, ResponseMeter } from "./response_bounds.ts";

export interface BackendExchangeOptions {
  readonly request: BackendRequest;
  readonly meter: ResponseMeter;
  readonly guard: ReceiveGuard;
  readonly readHead: (response: IncomingMessage) => ResponseHead;
  /** Called when the response has exceeded a bound. */
  readonly onExceeded: (excess: ExceededBound) => void;
}

/** One request to a backend server and its response, within its bounds. */
export class BackendExchange {
  readonly result: Promise<RequestResult>;
  readonly #outgoing: ClientRequest;
  readonly #options: BackendExchangeOptions;
  /** Resolves the result; further calls have no effect. */
  #settle: (result: RequestResult) => void = () => undefined;
  #connected = false;
  #response: IncomingMessage | undefined;
  #exceeded: ExceededBound | undefined;

  constructor(outgoing: ClientRequest, options: BackendExchangeOptions) {
    this.#outgoing = outgoing;
    this.#options = options;
    this.result = new Promise((resolve) => {
      this.#settle = resolve;
    });
    outgoing.once("socket", (socket) => this.#onSocket(socket));
    outgoing.on("error", (error) => this.#onError(error));
    outgoing.once("close", () => {
      if (!this.#response) this.#fail("connection closed");
    });
    outgoing.on("information", this.#onInformation);
    outgoing.once("response", (response) => this.#onResponse(response));
  }

  #onSocket(socket: Socket): void {
    const { guard, request } = this.#options;
    guard.release(socket);
    this.#connected = !socket.connecting;
    if (this.#connected) return;
    const timeoutMs = request.connectTimeoutMs;
    setConnectTimeout(socket, { timeoutMs, request: this.#outgoing });
    socket.once("connect", () => {
      this.#connected = true;
    });
  }

  /** Errors after the head are left to the response, which may be complete. */
  #onError(error: ParseError): void {
    if (!this.#response) {
      this.#fail(error.message);
      return;
    }
    if (!this.#response.complete) this.#response.destroy(error);
    const bytes = surplusBytes(error);
    if (bytes > 0) this.#reportSurplus(bytes);
  }

  readonly #onInformation = (information: InformationEvent): void => {
    const { meter } = this.#options;
    const excess = meter.countInformational(sizeOf(information));
    if (!excess) return;
    // What has been read already goes on to be parsed.
    this.#outgoing.off("information", this.#onInformation);
    this.#exceed(excess);
  };

  #onResponse(response: IncomingMessage): void {
    const { meter, guard, readHead, request } = this.#options;
    this.#response = response;
    response.on("data", () => meter.recordPart());
    guard.watch(response, {
      onBytes: (bytes) => this.#exceed(meter.countReceived(bytes)),
      onSurplus: (bytes) => this.#reportSurplus(bytes),
    });
    const head = readHead(response);
    if (head.foreign) {
      this.#fail("the answer does not name the request");
      this.#outgoing.destroy();
      return;
    }
    if (!isFinalStatus(head.status)) {
      this.#fail(`the answer has the status ${head.status}`);
      this.#outgoing.destroy();
      return;
    }
    if (hasUnknownCoding(response)) {
      this.#fail("the answer has an unknown transfer coding");
      this.#outgoing.destroy();
      return;
    }
    this.#exceed(meter.checkLength(bodyLength(request, response)));
    if (this.#exceeded) return;
    const bounds = {
      meter,
      exceeded: () => this.#exceeded,
      exceed: (excess: ExceededBound) => this.#exceed(excess),
    };
    // The request was sent, so that an exception leaves its outcome unknown.
    collectResponse(response, head, bounds).then(
      this.#settle,
      (error: unknown) => this.#fail(String(error)),
    );
  }

  #fail(detail: string): void {
    const type = this.#connected ? "connection_lost" : "not_connected";
    this.#settle({ type: "fault", fault: { type, detail } });
  }

  /** Closes the connection if a bound was exceeded. */
  #exceed(excess: ExceededBound | undefined): void {
    if (!excess || this.#exceeded) return;
    this.#exceeded = excess;
    this.#options.onExceeded(excess);
    this.#settle({ type: "fault", fault: boundFailure(excess) });
    this.#outgoing.destroy();
  }

  #reportSurplus(bytes: number): void {
    this.#options.onExceeded({ bound: "surplus_bytes", bytes });
  }
}

/**
 * Whether a caller can be answered with a status: Node reads any three digits, but
 * writes none below 100, and clients know none from 600 on.
 */
function isFinalStatus(status: number): boolean {
  return status >= 200 && status <= 599;
}

/**
 * Whether the body is in a coding that callers cannot undo, since the header that
 * names it concerns this connection only. Requests ask for none.
 */
function hasUnknownCoding({ headers }: IncomingMessage): boolean {
  const coding = headers["transfer-encoding"];
  return coding !== undefined && coding.trim().toLowerCase() !== "chunked";
}

/** The announced length of a response's body; undefined if it has none. */
function bodyLength(
  { method }: BackendRequest,
  { headers, statusCode }: IncomingMessage,
): string | undefined {
  const hasBody = method !== "HEAD" && statusCode !== 304;
  return hasBody ? headers["content-length"] : undefined;
}

/** An error of Node's parser, or another one, which has no packet. */
interface ParseError extends NodeJS.ErrnoException {
  readonly rawPacket?: Buffer;
  readonly bytesParsed?: number;
}

/** Bytes of a packet that are no part of a response and cannot be parsed. */
function surplusBytes(error: ParseError): number {
  const { rawPacket, bytesParsed = 0, code } = error;
  const isSurplus = code === "HPE_INVALID_CONSTANT";
  return isSurplus && rawPacket ? rawPacket.length - bytesParsed : 0;
}

/** Bytes of an informational response, without its optional whitespace. */
function sizeOf({ statusMessage, rawHeaders }: InformationEvent): number {
  const statusLine = `HTTP/1.1 100 ${statusMessage}\r\n\r\n`;
  // Each name and value is followed by two separating bytes.
  return rawHeaders.reduce(
    (bytes, text) => bytes + text.length + 2,
    statusLine.length,
  );
}

function setConnectTimeout(
  socket: Socket,
  options: { timeoutMs: number; request: ClientRequest },
): void {
  const giveUp = () => {
    if (!socket.connecting) return;
    options.request.destroy(
      new Error(`no connection within ${options.timeoutMs} ms`),
    );
  };
  const timer = setTimeout(() => afterPendingInput(giveUp), options.timeoutMs);
  const stop = () => clearTimeout(timer);
  socket.once("connect", stop);
  socket.once("close", stop);
}
