import type { IncomingMessage, ServerResponse } from "node:http";
import { err, type Result } from "neverthrow";
import { type CallChain, toCallFault } from "#admission";
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
import { fingerprintOf } from "#quarantine";
import { CallAttempts, type CallEnd } from "./call_attempts.ts";
import type { CallEngineOptions } from "./call_engine.ts";
import { SERVER_ONLY } from "./call_protocol.ts";
import { CallReply } from "./call_reply.ts";
import type { Classified } from "./incoming_call.ts";
import type { ClaimDecision } from "./key_claims.ts";
import { endToEndHeaders } from "./reply.ts";
import { type RequestBody, readBody } from "./request_body.ts";
import type { StopReason } from "./server_attempt.ts";

/** When a caller may come back to an entry that is not ready. */
const NOT_READY_RETRY_MS = 1_000;

interface Work {
  readonly call: Call;
  readonly chain: CallChain;
  readonly body: RequestBody;
}

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
      requestId: this.#callerId ?? exchange.id,
      protocol: options.protocol,
      ended: (outcome, fault) => this.#record(outcome, fault),
    });
  }

  /** The id that the caller gave its request. */
  get #callerId(): string | undefined {
    const { headers } = this.#exchange.request;
    return this.#options.protocol.callerRequestId(headers);
  }

  /** The servers that run the call now. */
  get servers(): readonly BackendServer[] {
    return this.#attempts?.servers ?? [];
  }

  async run(): Promise<void> {
    const admitted = this.#admit();
    if (admitted.isErr()) {
      this.#refuse(admitted.error);
      return;
    }
    const { call, chain } = admitted.value;
    const { bodyLimits } = this.#options;
    const body = await readBody(this.#exchange.request, bodyLimits());
    if (body.isErr()) {
      this.#refuse(body.error);
      return;
    }
    this.#startDeadline(call);
    const work = { call, chain, body: body.value };
    try {
      if (this.#isKeyed) await this.#runOnce(work);
      else this.#conclude(await this.#attempt(work));
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

  /**
   * Answers a call that was refused before its key was looked up: an earlier
   * send of a request that must not be repeated may have run.
   */
  #refuse(fault: CallFault): void {
    const keyed = this.#exchange.request.headers[HEADERS.key] !== undefined;
    const mayHaveRun = keyed && this.#isKeyed;
    this.#reply.fail(mayHaveRun ? { ...fault, outcome: "unknown" } : fault);
  }

  /** Whether a key tells the request from others; so if its class is unknown. */
  get #isKeyed(): boolean {
    const found = this.#classified?.class;
    return !found?.repeatable && found?.identity !== "request";
  }

  #admit(): Result<{ call: Call; chain: CallChain }, CallFault> {
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

  #describe({ service, class: kind }: Classified) {
    const { headers } = this.#exchange.request;
    const classDeadlineMs = kind.deadlineMs;
    const now = this.#arrival;
    return this.#options.protocol
      .chain(headers, { now, classDeadlineMs })
      .mapErr(toCallFault)
      .map((chain) => {
        const { deadline, depth, retries } = chain;
        const call: Call = {
          id: this.#exchange.id,
          service: service.name,
          class: kind.name,
          priority: kind.priority,
          repeatable: kind.repeatable,
          arrival: now,
          deadline,
          depth,
          retries,
          attempts: kind.attempts,
          target: now + (kind.targetMs ?? kind.deadlineMs),
        };
        return { call, chain };
      });
  }

  #startDeadline(call: Call): void {
    const ms = Math.max(0, call.deadline - this.#options.clock.now());
    this.#deadlineTimer = setTimeout(() => this.#stop("expired"), ms);
  }

  async #attempt(work: Work): Promise<CallEnd> {
    const { request } = this.#exchange;
    const fingerprint = this.#fingerprint(work);
    const attempts = new CallAttempts(this.#options, {
      ...work,
      request,
      fingerprint,
    });
    this.#attempts = attempts;
    if (this.#stopped) {
      return { type: "fault", fault: callFault("deadline_expired") };
    }
    return attempts.run();
  }

  /** Runs a request that must not be repeated, if its key is granted. */
  async #runOnce(work: Work): Promise<void> {
    const { call, body } = work;
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
      const end = await this.#attempt(work);
      settlement = this.#settlementOf(end);
      this.#conclude(end);
    } finally {
      this.#options.claims.settle(call.id, settlement);
    }
  }

  /** Identifies the request over resends, to find those that crash servers. */
  #fingerprint({ call, body }: Work): string | undefined {
    const { method = "GET", url = "/", headers } = this.#exchange.request;
    const key = headers[HEADERS.key];
    return fingerprintOf({
      service: call.service,
      method,
      path: url,
      key: typeof key === "string" ? key : undefined,
      body: body.rest ? undefined : body.head,
    });
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
    const runsOnce =
      this.#classified?.class.repeatable === false && this.#isKeyed;
    const runs = this.servers.length > 0;
    if (reason === "caller_closed" && runsOnce && runs) return;
    this.#stopped ??= reason;
    // At the deadline the claim is decided anyway, with what is known of it.
    if (reason === "caller_closed") this.#cancelClaim?.();
    this.#attempts?.stop(reason);
  }

  #record(outcome: Outcome, fault?: CallFault): void {
    const { metrics, clock, logger, configuration } = this.#options;
    const ms = clock.now() - this.#arrival;
    const service = this.#classified?.service.name ?? "none";
    const kind = this.#classified?.class.name ?? "none";
    metrics.finished({
      service,
      class: kind,
      outcome,
      ...(fault && { code: fault.code }),
      ms,
    });
    logger.info("call", {
      requestId: this.#callerId ?? this.#exchange.id,
      call: this.#exchange.id,
      service,
      class: kind,
      route: this.#classified?.route,
      outcome,
      code: fault?.code,
      detail: fault?.detail,
      retryAfterMs: fault?.retryAfterMs,
      stopped: this.#stopped,
      objectiveMs: this.#classified?.class.targetMs,
      ms: Math.round(ms),
      attempts: this.#attempts?.trail,
      configuration: configuration(),
    });
  }

  #settlementOf(end: CallEnd): Settlement {
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
}
