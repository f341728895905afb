import type { IncomingMessage, ServerResponse } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { Settlement } from "#claims";
import {
  type BackendServer,
  type Call,
  type CallFault,
  callFault,
  HEADERS,
  hash32,
  type Outcome,
} from "#model";
import {
  CallAttempts,
  type CallEnd,
  type StopReason,
} from "./call_attempts.ts";
import type { CallEngineOptions } from "./call_engine.ts";
import { CallReply } from "./call_reply.ts";
import type { Classified } from "./incoming_call.ts";
import type { ClaimDecision } from "./key_claims.ts";
import { endToEndHeaders, SERVER_ONLY } from "./reply.ts";
import { type RequestBody, readBody } from "./request_body.ts";

/** When a caller may come back to an entry that is not ready. */
const NOT_READY_RETRY_MS = 1_000;

interface Exchange {
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** One caller's request on its way through the entry. */
export class CallExecution {
  readonly #options: CallEngineOptions;
  readonly #exchange: Exchange;
  readonly #reply: CallReply;
  readonly #arrival: number;
  #classified: Classified | undefined;
  #attempts: CallAttempts | undefined;
  #deadlineTimer: NodeJS.Timeout | undefined;
  #stopped: StopReason | undefined;
  #cancelClaim: (() => void) | undefined;

  constructor(options: CallEngineOptions, exchange: Exchange) {
    this.#options = options;
    this.#exchange = exchange;
    this.#arrival = options.clock.now();
    this.#reply = new CallReply({
      response: exchange.response,
      method: exchange.request.method ?? "GET",
      requestId: exchange.id,
      ended: (outcome, fault) => this.#record(outcome, fault),
    });
  }

  /** The server that runs the call now. */
  get server(): BackendServer | undefined {
    return this.#attempts?.server;
  }

  async run(): Promise<void> {
    const call = this.#admit();
    if (call.isErr()) {
      this.#reply.fail(call.error);
      return;
    }
    const { bodyLimits } = this.#options;
    const body = await readBody(this.#exchange.request, bodyLimits);
    if (body.isErr()) {
      this.#reply.fail(body.error);
      return;
    }
    this.#startDeadline(call.value);
    try {
      if (call.value.repeatable) {
        this.#conclude(await this.#attempt(call.value, body.value));
      } else {
        await this.#runOnce(call.value, body.value);
      }
    } finally {
      clearTimeout(this.#deadlineTimer);
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

  #admit(): Result<Call, CallFault> {
    const { ready, classifier } = this.#options;
    if (!ready()) {
      const retryAfterMs = NOT_READY_RETRY_MS;
      return err(callFault("not_ready", { retryAfterMs }));
    }
    return classifier()
      .classify(this.#exchange.request)
      .andThen((classified) => {
        this.#classified = classified;
        return this.#describe(classified);
      });
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

  async #attempt(call: Call, body: RequestBody): Promise<CallEnd> {
    const { request } = this.#exchange;
    const attempts = new CallAttempts(this.#options, { call, request, body });
    this.#attempts = attempts;
    if (this.#stopped) {
      return { type: "fault", fault: callFault("deadline_expired") };
    }
    return attempts.run();
  }

  /** Runs a request that must not be repeated, if its key is granted. */
  async #runOnce(call: Call, body: RequestBody): Promise<void> {
    const key = this.#exchange.request.headers[HEADERS.key];
    if (typeof key !== "string") {
      const detail = `class ${call.class} needs the header ${HEADERS.key}`;
      this.#reply.fail(callFault("key_required", { detail }));
      return;
    }
    const decision = await this.#claim(call, { key, body });
    if (decision.type === "denied") {
      this.#reply.fail(decision.fault);
      return;
    }
    if (decision.type === "replayed") {
      this.#reply.replay(decision.answer);
      return;
    }
    // After an error of the entry itself, the request may have run.
    let settlement: Settlement = { type: "ran" };
    try {
      const end = await this.#attempt(call, body);
      settlement = settlementOf(end);
      this.#conclude(end);
    } finally {
      this.#options.claims.settle(call.id, settlement);
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
    const claimed = claims.claim({
      callId: call.id,
      key,
      fingerprint: hash32(`${call.service} ${method} ${url}\n${head}`),
      waitMs: call.deadline - clock.now(),
    });
    this.#cancelClaim = () => claims.cancel(call.id);
    return claimed.finally(() => {
      this.#cancelClaim = undefined;
    });
  }

  #conclude(end: CallEnd): void {
    if (end.type === "answer") this.#reply.answer(end.answer);
    else this.#reply.fail(end.fault);
  }

  #stop(reason: StopReason): void {
    // A request that must not be repeated runs on when its caller is gone, so
    // that a resend gets the stored answer and not an unknown outcome.
    const runsOnce = this.#classified?.class.repeatable === false;
    if (reason === "caller_closed" && runsOnce && this.server) return;
    this.#stopped ??= reason;
    // At the deadline the claim is decided anyway, with what is known of it.
    if (reason === "caller_closed") this.#cancelClaim?.();
    this.#attempts?.stop(reason);
  }

  #record(outcome: Outcome, fault?: CallFault): void {
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
