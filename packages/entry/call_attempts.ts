import type { IncomingMessage } from "node:http";
import { err, type Result } from "neverthrow";
import {
  type BackendServer,
  type Call,
  type CallFault,
  callFault,
  HEADERS,
  type Outcome,
} from "#model";
import type { CallResultKind } from "#routing";
import type { Attempt, AttemptEnd, BackendAnswer } from "./backend_client.ts";
import type { CallEngineOptions } from "./call_engine.ts";
import { endToEndHeaders } from "./reply.ts";
import type { RequestBody } from "./request_body.ts";

const CONNECT_TIMEOUT_MS = 1_000;
/** Attempts of a call, the first one included. */
const MAX_ATTEMPTS = 3;

/** Headers that are replaced on the way to a server. */
const REPLACED: ReadonlySet<string> = new Set([
  HEADERS.service,
  HEADERS.deadline,
  HEADERS.depth,
  HEADERS.retries,
  HEADERS.requestId,
]);

/** How a call ended, before the caller is told. */
export type CallEnd =
  | { readonly type: "answer"; readonly answer: BackendAnswer }
  | { readonly type: "fault"; readonly fault: CallFault };

export type StopReason = "expired" | "caller_closed";

/** The attempts of one call on backend servers, one after the other. */
export class CallAttempts {
  readonly #options: CallEngineOptions;
  readonly #call: Call;
  readonly #request: IncomingMessage;
  readonly #body: RequestBody;
  readonly #exclude = new Set<string>();
  #attempt: Attempt | undefined;
  #server: BackendServer | undefined;
  #stopped: StopReason | undefined;
  #stopWaiting: (() => void) | undefined;
  /** An attempt ended without proof that the server did not run it. */
  #mayHaveRun = false;

  constructor(
    options: CallEngineOptions,
    work: { call: Call; request: IncomingMessage; body: RequestBody },
  ) {
    this.#options = options;
    this.#call = work.call;
    this.#request = work.request;
    this.#body = work.body;
  }

  /** The server that runs the call now. */
  get server(): BackendServer | undefined {
    return this.#server;
  }

  /** Ends the wait for a server, or cancels the request there. */
  stop(reason: StopReason): void {
    this.#stopped ??= reason;
    this.#stopWaiting?.();
    this.#stopWaiting = undefined;
    this.#attempt?.cancel();
  }

  /** Tries servers until one answers or no further attempt is allowed. */
  async run(): Promise<CallEnd> {
    for (let attempt = 1; ; attempt++) {
      const server = await this.#assign();
      if (server.isErr()) return this.#failed(server.error);
      const end = await this.#send(server.value);
      if (end.type === "answer" && !end.answer.notStarted) return end;
      const outcome = attemptOutcome(end);
      if (outcome === "unknown") this.#mayHaveRun = true;
      if (attempt === MAX_ATTEMPTS || !this.#mayRepeat(outcome)) {
        return this.#failed(this.#fault(end));
      }
      this.#exclude.add(server.value.id);
    }
  }

  #mayRepeat(outcome: Outcome): boolean {
    if (this.#stopped || this.#body.rest) return false;
    return outcome === "not-run" || this.#call.repeatable;
  }

  #assign(): Promise<Result<BackendServer, CallFault>> {
    const { assignments, clock, metrics } = this.#options;
    const call = this.#call;
    const asked = clock.now();
    return new Promise((resolve) => {
      this.#stopWaiting = () => {
        assignments.cancel(call.id);
        resolve(err(callFault("deadline_expired")));
      };
      assignments.submit(call, this.#exclude, (decision) => {
        this.#stopWaiting = undefined;
        const ms = clock.now() - asked;
        metrics.waited({ service: call.service, class: call.class, ms });
        resolve(decision);
      });
    });
  }

  async #send(server: BackendServer): Promise<AttemptEnd> {
    const { client, clock, serverLeaving } = this.#options;
    const started = clock.now();
    this.#server = server;
    this.#attempt = client.send(server, {
      method: this.#request.method ?? "GET",
      path: this.#request.url ?? "/",
      headers: this.#headers(started),
      body: this.#body,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    });
    const end = await this.#attempt.end;
    const finish = () => this.#finish(end, started);
    const stream = end.type === "answer" ? end.answer.stream : undefined;
    // A long answer keeps its slot until its last byte.
    if (stream) stream.once("close", finish);
    else finish();
    if (end.type === "answer" && end.answer.leaving) serverLeaving(server);
    return end;
  }

  #headers(now: number): string[] {
    const { id, deadline, depth, retries } = this.#call;
    const headers = endToEndHeaders(this.#request.rawHeaders, REPLACED);
    const remaining = Math.max(1, Math.floor(deadline - now));
    headers.push(HEADERS.deadline, String(remaining));
    headers.push(HEADERS.requestId, id);
    headers.push(HEADERS.depth, String(depth + 1));
    headers.push(HEADERS.retries, String(retries));
    return headers;
  }

  #finish(end: AttemptEnd, started: number): void {
    const { assignments, clock } = this.#options;
    this.#attempt = undefined;
    this.#server = undefined;
    const answer = end.type === "answer" ? end.answer : undefined;
    assignments.finish(this.#call.id, {
      kind: resultKind(end, this.#stopped),
      serviceMs: clock.now() - started,
      inFlight: answer?.inFlight,
      leaving: answer?.leaving,
    });
  }

  #fault(end: AttemptEnd): CallFault {
    if (this.#stopped === "expired") return callFault("deadline_expired");
    const detail = end.type === "fault" ? end.fault.detail : "not started";
    return callFault("server_failed", { outcome: "not-run", detail });
  }

  /** A fault that no earlier attempt contradicts. */
  #failed(fault: CallFault): CallEnd {
    if (!this.#mayHaveRun) return { type: "fault", fault };
    return { type: "fault", fault: { ...fault, outcome: "unknown" } };
  }
}

function attemptOutcome(end: AttemptEnd): Outcome {
  if (end.type === "answer") {
    return end.answer.notStarted ? "not-run" : "answered";
  }
  return end.fault.type === "not_connected" ? "not-run" : "unknown";
}

function resultKind(
  end: AttemptEnd,
  stopped: StopReason | undefined,
): CallResultKind {
  if (end.type === "answer") {
    if (end.answer.notStarted) return "not_started";
    return end.answer.status >= 500 ? "failed" : "answered";
  }
  return stopped === "caller_closed" ? "cancelled" : "lost";
}
