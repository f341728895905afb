import type { IncomingMessage, ServerResponse } from "node:http";
import type { StoredAnswer } from "#claims";
import { type CallFault, HEADERS, type Outcome } from "#model";
import type { CallProtocol } from "./call_protocol.ts";
import { replyFault } from "./reply.ts";
import type { BackendAnswer } from "./server_answer.ts";

/** Statuses whose answers have no body, and so no length to add. */
const BODILESS: ReadonlySet<number> = new Set([204, 304]);

export interface CallReplyOptions {
  readonly response: ServerResponse;
  readonly method: string;
  readonly requestId: string;
  readonly protocol: CallProtocol;
  /** The call has its final outcome; called once. */
  readonly ended: (outcome: Outcome, fault?: CallFault) => void;
}

/** Sends a caller the one final answer of its call. */
export class CallReply {
  readonly #options: CallReplyOptions;
  #ended = false;

  constructor(options: CallReplyOptions) {
    this.#options = options;
  }

  /** Passes a server's answer on. */
  answer(answer: BackendAnswer): void {
    const { response, requestId, method, protocol } = this.#options;
    if (response.destroyed) {
      answer.stream?.destroy();
      this.#end("answered");
      return;
    }
    const headers = protocol.answerHeaders(answer.rawHeaders, {
      outcome: "answered",
      requestId,
    });
    if (answer.stream) {
      response.writeHead(answer.status, headers);
      this.#pipe(answer.stream, answer.wasCut);
      return;
    }
    const bodiless = method === "HEAD" || BODILESS.has(answer.status);
    if (!bodiless && !hasHeader(headers, "content-length")) {
      headers.push("content-length", String(answer.body.length));
    }
    response.writeHead(answer.status, headers);
    // Node sends the header and a string body in one write, a buffer in two.
    response.end(answer.body.toString("latin1"), "latin1");
    this.#end("answered");
  }

  /** Sends the answer that an earlier run of the same key got. */
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
    replyFault(response, fault, protocol.faultAnswer(fault, requestId));
  }

  /** Passes a long answer on; one that is cut never looks whole. */
  #pipe(body: IncomingMessage, wasCut: () => boolean): void {
    const { response } = this.#options;
    const cut = () => {
      this.#end("unknown");
      response.destroy();
    };
    body.pipe(response, { end: false });
    body.once("end", () => {
      if (wasCut()) {
        cut();
        return;
      }
      response.end();
      this.#end("answered");
    });
    body.once("error", cut);
    body.once("close", () => {
      if (!body.complete) cut();
    });
    response.once("close", () => body.destroy());
  }

  #end(outcome: Outcome, fault?: CallFault): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#options.ended(outcome, fault);
  }
}

function hasHeader(headers: readonly string[], name: string): boolean {
  return headers.some((h, i) => i % 2 === 0 && h.toLowerCase() === name);
}
