import type { StoredAnswer } from "#claims";
import { type CallFault, callFault, HEADERS, type Outcome } from "#model";
import type { TrackedResponse } from "#wire";
import type { BackendResponse, StreamedResponse } from "./backend_response.ts";
import type { CallProtocol } from "./call_protocol.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import {
  HANDOVER_HEADER_NAMES,
  HANDOVER_HEADERS,
  type HandoverRefusal,
} from "./handover_protocol.ts";
import { replyFault } from "./reply.ts";
import {
  describeExceededBound,
  type ExceededBound,
} from "./response_bounds.ts";
import { ResponseStream } from "./response_stream.ts";

/** Statuses whose responses have no body, and so need no content length. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);
/** Unlike that of 304, its length would not be the one of another answer. */
const STATUS_WITHOUT_LENGTH = 204;

export interface CallReplyOptions {
  readonly response: TrackedResponse;
  readonly method: string;
  readonly requestId: string;
  readonly protocol: CallProtocol;
  /** Whether another entry has passed the call on. */
  readonly isHandedOver: boolean;
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

  /** Whether the whole answer is written, as after a body over the limit. */
  get #isAnswered(): boolean {
    return this.#options.response.writableEnded;
  }

  /** Forwards a server's response. */
  forward(backendResponse: BackendResponse): void {
    if (this.#isAnswered) {
      backendResponse.stream?.destroy();
      return;
    }
    const { requestId, protocol, isHandedOver } = this.#options;
    const headers = protocol.responseHeaders(backendResponse.rawHeaders, {
      outcome: "answered",
      requestId,
    });
    if (isHandedOver) headers.push(HANDOVER_HEADERS.outcome, "answered");
    this.#write(backendResponse, headers, "answered");
  }

  /** Forwards the response of the entry to which the call was passed on. */
  forwardHandedOver(answer: BackendResponse, outcome: Outcome): void {
    if (this.#isAnswered) {
      answer.stream?.destroy();
      return;
    }
    const headers = endToEndHeaders(answer.rawHeaders, HANDOVER_HEADER_NAMES);
    this.#write(answer, headers, outcome);
  }

  #write(
    backendResponse: BackendResponse,
    headers: string[],
    outcome: Outcome,
  ): void {
    const { response, method } = this.#options;
    if (response.destroyed) {
      backendResponse.stream?.destroy();
      this.#end(outcome);
      return;
    }
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
    response.writeHead(
      backendResponse.status,
      framing(backendResponse, headers),
    );
    // Node sends headers and a string body in one write, but a buffer in two.
    response.end(backendResponse.body.toString("latin1"), "latin1");
    this.#end(outcome);
  }

  /** Sends the stored response of an earlier call with the same key. */
  replay({ status, headers, body }: StoredAnswer): void {
    if (this.#isAnswered) return;
    const { response, requestId, isHandedOver } = this.#options;
    response.writeHead(status, [
      ...headers.flat(),
      HEADERS.outcome,
      "answered",
      HEADERS.requestId,
      requestId,
      ...(isHandedOver ? [HANDOVER_HEADERS.outcome, "answered"] : []),
    ]);
    response.end(body);
    this.#end("answered");
  }

  fail(fault: CallFault): void {
    if (this.#isAnswered) return;
    this.#fail(fault, {});
  }

  /** Tells the entry that passed the call on to ask another one. */
  refuseHandedOver(reason: HandoverRefusal): void {
    if (this.#isAnswered) return;
    const detail = `handed-over call refused: ${reason}`;
    const fault = callFault("no_server", { detail });
    this.#fail(fault, { [HANDOVER_HEADERS.refused]: reason });
  }

  #fail(fault: CallFault, handoverHeaders: Record<string, string>): void {
    const { response, requestId, protocol, isHandedOver } = this.#options;
    this.#end(fault.outcome, fault);
    const { headers, ...rest } = protocol.errorResponse(fault, requestId);
    const outcome = isHandedOver && {
      [HANDOVER_HEADERS.outcome]: fault.outcome,
    };
    replyFault(response, fault, {
      ...rest,
      headers: { ...headers, ...outcome, ...handoverHeaders },
    });
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

/**
 * The headers without a length if the status is 204: a client that believes it takes
 * what follows on its connection for a body (RFC 9112, 6.3).
 */
function framing({ status }: BackendResponse, headers: string[]): string[] {
  if (status !== STATUS_WITHOUT_LENGTH) return headers;
  return headers.filter(
    (_, i) => headers[i - (i % 2)]?.toLowerCase() !== "content-length",
  );
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
