import type { StoredAnswer } from "#claims";
import { type CallFault, callFault, HEADERS, type Outcome } from "#model";
import type { TrackedResponse } from "#wire";
import type { BackendResponse, StreamedResponse } from "./backend_response.ts";
import type { CallProtocol } from "./call_protocol.ts";
import { replyFault } from "./reply.ts";
import {
  describeExceededBound,
  type ExceededBound,
} from "./response_bounds.ts";
import { ResponseStream } from "./response_stream.ts";

/** Statuses whose responses have no body, and so need no content length. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

export interface CallReplyOptions {
  readonly response: TrackedResponse;
  readonly method: string;
  readonly requestId: string;
  readonly protocol: CallProtocol;
  /** Called once, with the final outcome of the call. */
  readonly onEnd: (outcome: Outcome, fault?: CallFault) => void;
}

/** Sends the final response of a call to the caller. */
export class CallReply {
  readonly #options: CallReplyOptions;
  #ended = false;
  #stream: ResponseStream | undefined;

  constructor(options: CallReplyOptions) {
    this.#options = options;
  }

  /** Forwards a server's response. */
  forward(backendResponse: BackendResponse): void {
    const { response, requestId, method, protocol } = this.#options;
    if (response.destroyed) {
      backendResponse.stream?.destroy();
      this.#end("answered");
      return;
    }
    const headers = protocol.responseHeaders(backendResponse.rawHeaders, {
      outcome: "answered",
      requestId,
    });
    if (backendResponse.stream) {
      response.isStreamed = true;
      response.writeHead(backendResponse.status, headers);
      this.#forwardStream(backendResponse);
      return;
    }
    const bodiless =
      method === "HEAD" || STATUSES_WITHOUT_BODY.has(backendResponse.status);
    if (!bodiless && !hasHeader(headers, "content-length")) {
      headers.push("content-length", String(backendResponse.body.length));
    }
    response.writeHead(backendResponse.status, headers);
    // Node sends headers and a string body in one write, but a buffer in two.
    response.end(backendResponse.body.toString("latin1"), "latin1");
    this.#end("answered");
  }

  /** Sends the stored response of an earlier call with the same key. */
  replay({ status, headers, body }: StoredAnswer): void {
    const { response, requestId } = this.#options;
    response.writeHead(status, [
      ...headers.flat(),
      HEADERS.outcome,
      "answered",
      HEADERS.requestId,
      requestId,
    ]);
    response.end(body);
    this.#end("answered");
  }

  fail(fault: CallFault): void {
    const { response, requestId, protocol } = this.#options;
    this.#end(fault.outcome, fault);
    replyFault(response, fault, protocol.errorResponse(fault, requestId));
  }

  /** To be called at the deadline of the call. */
  expire(): void {
    this.#stream?.expire();
  }

  #forwardStream(from: StreamedResponse): void {
    this.#stream = new ResponseStream(from, this.#options.response, {
      onEnd: (end) => {
        if (end.type === "complete") this.#end("answered");
        else if (end.type === "truncated") this.#end("unknown");
        else this.#end("unknown", toFault(end.excess));
      },
    });
    this.#stream.start();
  }

  #end(outcome: Outcome, fault?: CallFault): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#options.onEnd(outcome, fault);
  }
}

function hasHeader(headers: readonly string[], name: string): boolean {
  return headers.some((h, i) => i % 2 === 0 && h.toLowerCase() === name);
}

/** The fault of a call whose response was broken off, for its log line. */
function toFault(excess: ExceededBound): CallFault {
  const isLate = excess.bound === "deadline";
  return callFault(isLate ? "deadline_expired" : "server_failed", {
    outcome: "unknown",
    detail: describeExceededBound(excess),
  });
}
