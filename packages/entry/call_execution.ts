import type { IncomingMessage, ServerResponse } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { Settlement, StoredAnswer } from "#claims";
import {
  type BackendServer,
  type Call,
  type CallFault,
  callFault,
  HEADERS,
  hash32,
  type Outcome,
} from "#model";
import type { CallResultKind } from "#routing";
import type { Attempt, AttemptEnd, BackendAnswer } from "./backend_client.ts";
import type { CallEngineOptions } from "./call_engine.ts";
import type { Classified } from "./incoming_call.ts";
import type { ClaimDecision } from "./key_claims.ts";
import {
  answerHeaders,
  endToEndHeaders,
  replyFault,
  SERVER_ONLY,
} from "./reply.ts";
import { type RequestBody, readBody } from "./request_body.ts";

const CONNECT_TIMEOUT_MS = 1_000;
/** Attempts of a call, the first one included. */
const MAX_ATTEMPTS = 3;
/** When a caller may come back to an entry that is not ready. */
const NOT_READY_RETRY_MS = 1_000;

/** Headers that are replaced on the way to a server. */
const REPLACED: ReadonlySet<string> = new Set([
  HEADERS.service,
  HEADERS.deadline,
  HEADERS.depth,
  HEADERS.retries,
  HEADERS.requestId,
]);

/** How a call ended, before the caller is told. */
type CallEnd =
  | { readonly type: "answer"; readonly answer: BackendAnswer }
  | { readonly type: "fault"; readonly fault: CallFault };

interface Exchange {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** One caller's request on its way through the entry. */
export class CallExecution {
  readonly #options: CallEngineOptions;
  readonly #exchange: Exchange;
  readonly #arrival: number;
  #classified: Classified | undefined;
  #attempt: Attempt | undefined;
  #server: BackendServer | undefined;
  #deadlineTimer: NodeJS.Timeout | undefined;
  #stopped: "expired" | "caller_closed" | undefined;
  #stopWaiting: (() => void) | undefined;
  #recorded = false;

  constructor(options: CallEngineOptions, exchange: Exchange) {
    this.#options = options;
    this.#exchange = exchange;
    this.#arrival = options.clock.now();
  }

  /** The server that runs the call now. */
  get server(): BackendServer | undefined {
    return this.#server;
  }

  async run(): Promise<void> {
    const { request } = this.#exchange;
    const { ready, classifier, bodyLimits } = this.#options;
    if (!ready()) {
      const retryAfterMs = NOT_READY_RETRY_MS;
      this.#fail(callFault("not_ready", { retryAfterMs }));
      return;
    }
    const classified = classifier().classify(request);
    if (classified.isErr()) {
      this.#fail(classified.error);
      return;
    }
    this.#classified = classified.value;
    const call = this.#describe(classified.value);
    if (call.isErr()) {
      this.#fail(call.error);
      return;
    }
    const body = await readBody(request, bodyLimits);
    if (body.isErr()) {
      this.#fail(body.error);
      return;
    }
    this.#startDeadline(call.value);
    if (call.value.repeatable) {
      this.#reply(await this.#attempts(call.value, body.value));
    } else {
      await this.#runOnce(call.value, body.value);
    }
  }

  /** The caller's connection is gone, or its answer is out. */
  callerClosed(): void {
    if (this.#exchange.response.writableFinished) return;
    this.#stop("caller_closed");
  }

  /** Ends the call after an error of the entry itself. */
  abort(): void {
    this.#stop("caller_closed");
    this.#exchange.response.destroy();
  }

  #describe({ service, class: kind }: Classified): Result<Call, CallFault> {
    const { headers } = this.#exchange.request;
    const asked = headers[HEADERS.deadline];
    const deadlineMs = asked === undefined ? kind.deadlineMs : Number(asked);
    if (!Number.isFinite(deadlineMs)) {
      const detail = `${HEADERS.deadline} is not a number of milliseconds`;
      return err(callFault("invalid_request", { detail }));
    }
    if (deadlineMs <= 0) return err(callFault("deadline_expired"));
    return ok({
      id: this.#exchange.id,
      service: service.name,
      class: kind.name,
      priority: kind.priority,
      repeatable: kind.repeatable,
      arrival: this.#arrival,
      deadline: this.#arrival + Math.min(deadlineMs, kind.deadlineMs),
      depth: 0,
      retries: 0,
    });
  }

  #startDeadline(call: Call): void {
    const ms = Math.max(0, call.deadline - this.#options.clock.now());
    this.#deadlineTimer = setTimeout(() => this.#stop("expired"), ms);
  }

  /** Runs a request that must not be repeated, if its key is granted. */
  async #runOnce(call: Call, body: RequestBody): Promise<void> {
    const key = this.#exchange.request.headers[HEADERS.key];
    if (typeof key !== "string") {
      const detail = `class ${call.class} needs the header ${HEADERS.key}`;
      this.#fail(callFault("key_required", { detail }));
      return;
    }
    const decision = await this.#claim(call, { key, body });
    if (decision.type === "denied") {
      this.#fail(decision.fault);
      return;
    }
    if (decision.type === "replayed") {
      this.#replay(decision.answer);
      return;
    }
    const { claims } = this.#options;
    if (this.#stopped) {
      claims.settle(call.id, { type: "not_started" });
      this.#fail(callFault("deadline_expired"));
      return;
    }
    let settlement: Settlement = { type: "ran" };
    try {
      const end = await this.#attempts(call, body);
      settlement = settlementOf(end);
      this.#reply(end);
    } finally {
      // After an error of the entry itself, the request may have run.
      claims.settle(call.id, settlement);
    }
  }

  #claim(
    call: Call,
    options: { key: string; body: RequestBody },
  ): Promise<ClaimDecision> {
    const { claims, clock } = this.#options;
    const { method, url } = this.#exchange.request;
    const { key, body } = options;
    const head = body.head.toString("latin1");
    this.#stopWaiting = () => claims.cancel(call.id);
    return claims
      .claim({
        callId: call.id,
        key,
        fingerprint: hash32(`${call.service} ${method} ${url}\n${head}`),
        waitMs: call.deadline - clock.now(),
      })
      .finally(() => {
        this.#stopWaiting = undefined;
      });
  }

  async #attempts(call: Call, body: RequestBody): Promise<CallEnd> {
    const exclude = new Set<string>();
    for (let attempt = 1; ; attempt++) {
      const server = await this.#assign(call, exclude);
      if (server.isErr()) return { type: "fault", fault: server.error };
      const end = await this.#send(server.value, { call, body });
      if (end.type === "answer" && !end.answer.notStarted) return end;
      const outcome = attemptOutcome(end);
      const mayRepeat = outcome === "not-run" || call.repeatable;
      const again =
        mayRepeat && !this.#stopped && !body.rest && attempt < MAX_ATTEMPTS;
      if (!again) return { type: "fault", fault: this.#fault(end, outcome) };
      exclude.add(server.value.id);
    }
  }

  #assign(
    call: Call,
    exclude: ReadonlySet<string>,
  ): Promise<Result<BackendServer, CallFault>> {
    const { assignments, clock, metrics } = this.#options;
    const asked = clock.now();
    return new Promise((resolve) => {
      this.#stopWaiting = () => {
        assignments.cancel(call.id);
        resolve(err(callFault("deadline_expired", { outcome: "not-run" })));
      };
      assignments.submit(call, exclude, (decision) => {
        this.#stopWaiting = undefined;
        const ms = clock.now() - asked;
        metrics.waited({ service: call.service, class: call.class, ms });
        resolve(decision);
      });
    });
  }

  async #send(
    server: BackendServer,
    options: { call: Call; body: RequestBody },
  ): Promise<AttemptEnd> {
    const { client, clock, serverLeaving } = this.#options;
    const { call, body } = options;
    const started = clock.now();
    const { request } = this.#exchange;
    const headers = endToEndHeaders(request.rawHeaders, REPLACED);
    const remaining = Math.max(1, Math.floor(call.deadline - started));
    headers.push(HEADERS.deadline, String(remaining));
    headers.push(HEADERS.requestId, call.id);
    headers.push(HEADERS.depth, String(call.depth + 1));
    headers.push(HEADERS.retries, String(call.retries));
    this.#server = server;
    this.#attempt = client.send(server, {
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers,
      body,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    });
    const end = await this.#attempt.end;
    const finish = () => this.#finishAttempt(call, { end, started });
    const stream = end.type === "answer" ? end.answer.stream : undefined;
    // A long answer keeps its slot until its last byte.
    if (stream) stream.once("close", finish);
    else finish();
    if (end.type === "answer" && end.answer.leaving) serverLeaving(server);
    return end;
  }

  #finishAttempt(
    call: Call,
    options: { end: AttemptEnd; started: number },
  ): void {
    const { assignments, clock } = this.#options;
    const { end, started } = options;
    this.#attempt = undefined;
    this.#server = undefined;
    const answer = end.type === "answer" ? end.answer : undefined;
    assignments.finish(call.id, {
      kind: resultKind(end, this.#stopped),
      serviceMs: clock.now() - started,
      inFlight: answer?.inFlight,
      leaving: answer?.leaving,
    });
  }

  #reply(end: CallEnd): void {
    if (end.type === "answer") this.#answer(end.answer);
    else this.#fail(end.fault);
  }

  /** Sends the answer that an earlier run of the same key got. */
  #replay({ status, headers, body }: StoredAnswer): void {
    const { response, id } = this.#exchange;
    clearTimeout(this.#deadlineTimer);
    response.writeHead(status, [
      ...headers.flat(),
      HEADERS.outcome,
      "answered",
      HEADERS.requestId,
      id,
    ]);
    response.end(body);
    this.#record("answered");
  }

  #answer(answer: BackendAnswer): void {
    clearTimeout(this.#deadlineTimer);
    const { response, id } = this.#exchange;
    if (response.destroyed) {
      answer.stream?.destroy();
      this.#record("answered");
      return;
    }
    const headers = answerHeaders({
      raw: answer.rawHeaders,
      outcome: "answered",
      requestId: id,
    });
    if (answer.stream) {
      response.writeHead(answer.status, headers);
      this.#pipe(answer.stream);
      return;
    }
    if (!hasHeader(headers, "content-length") && answer.status !== 204) {
      headers.push("content-length", String(answer.body.length));
    }
    response.writeHead(answer.status, headers);
    // Node sends the header and a string body in one write, a buffer in two.
    response.end(answer.body.toString("latin1"), "latin1");
    this.#record("answered");
  }

  /** Passes a long answer on; one that is cut never looks whole. */
  #pipe(body: IncomingMessage): void {
    const { response } = this.#exchange;
    body.pipe(response);
    body.once("end", () => this.#record("answered"));
    body.once("error", () => response.destroy());
    body.once("close", () => {
      if (body.complete) return;
      this.#record("unknown");
      response.destroy();
    });
    response.once("close", () => body.destroy());
  }

  #fail(fault: CallFault): void {
    clearTimeout(this.#deadlineTimer);
    const { response, id } = this.#exchange;
    this.#record(fault.outcome, fault);
    replyFault(response, { fault, requestId: id });
  }

  #fault(end: AttemptEnd, outcome: Outcome): CallFault {
    if (this.#stopped === "expired") {
      return callFault("deadline_expired", { outcome });
    }
    const detail = end.type === "fault" ? faultDetail(end) : "not started";
    return callFault("server_failed", { outcome, detail });
  }

  #stop(reason: "expired" | "caller_closed"): void {
    // A request that must not be repeated runs on when its caller is gone, so
    // that a resend gets the stored answer and not an unknown outcome.
    if (reason === "caller_closed" && this.#attempt && this.#runsOnce) return;
    this.#stopped ??= reason;
    this.#stopWaiting?.();
    this.#stopWaiting = undefined;
    this.#attempt?.cancel();
  }

  get #runsOnce(): boolean {
    return this.#classified?.class.repeatable === false;
  }

  #record(outcome: Outcome, fault?: CallFault): void {
    if (this.#recorded) return;
    this.#recorded = true;
    const { metrics, clock } = this.#options;
    metrics.finished({
      service: this.#classified?.service.name ?? "none",
      class: this.#classified?.class.name ?? "none",
      outcome,
      ...(fault && { code: fault.code }),
      ms: clock.now() - this.#arrival,
    });
  }
}

function settlementOf(end: CallEnd): Settlement {
  if (end.type === "fault") {
    const notRun = end.fault.outcome === "not-run";
    return { type: notRun ? "not_started" : "ran" };
  }
  const { status, rawHeaders, body } = end.answer;
  // A streamed answer is too long to be kept.
  if (!body) return { type: "ran" };
  const kept = endToEndHeaders(rawHeaders, SERVER_ONLY);
  const headers: [string, string][] = [];
  for (let i = 0; i < kept.length; i += 2) {
    headers.push([kept[i] ?? "", kept[i + 1] ?? ""]);
  }
  return { type: "ran", answer: { status, headers, body } };
}

function attemptOutcome(end: AttemptEnd): Outcome {
  if (end.type === "answer") {
    return end.answer.notStarted ? "not-run" : "answered";
  }
  return end.fault.type === "not_connected" ? "not-run" : "unknown";
}

function resultKind(
  end: AttemptEnd,
  stopped: "expired" | "caller_closed" | undefined,
): CallResultKind {
  if (end.type === "answer") {
    if (end.answer.notStarted) return "not_started";
    return end.answer.status >= 500 ? "failed" : "answered";
  }
  return stopped === "caller_closed" ? "cancelled" : "lost";
}

function faultDetail(end: Extract<AttemptEnd, { type: "fault" }>): string {
  const { fault } = end;
  return fault.type === "cancelled" ? "cancelled" : fault.detail;
}

function hasHeader(headers: readonly string[], name: string): boolean {
  return headers.some((h, i) => i % 2 === 0 && h.toLowerCase() === name);
}
