import type { IncomingMessage } from "node:http";
import type { CallChain } from "#admission";
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
import { CallQuota } from "#quota_service";
import type { TrackedResponse } from "#wire";
import { type StopReason, stopFault } from "./attempt_result.ts";
import { CallAdmission } from "./call_admission.ts";
import { CallAttempts, type CallAttemptsResult } from "./call_attempts.ts";
import type { CallEnvironment } from "./call_environment.ts";
import {
  CallHandover,
  type HandoverInput,
  handoverRefusal,
} from "./call_handover.ts";
import { CallReply } from "./call_reply.ts";
import { cutOffFault } from "./final_fault.ts";
import type { HandoverOrigin, HandoverRefusal } from "./handover_protocol.ts";
import type { ClaimDecision } from "./key_claims.ts";
import { type RequestBody, readBody, watchBodyLimit } from "./request_body.ts";
import { settlementOf } from "./settlement.ts";
import type { StopSchedule } from "./stop_schedule.ts";

/**
 * Longest name of a service or a route in a log line, in characters. Items of
 * builds up to 74709bf have names of any length, and the volume of logs is bounded.
 */
const MAX_LOGGED_NAME_LENGTH = 256;

/** A call that passed all checks, with its request body. */
interface AdmittedCall {
  readonly call: Call;
  readonly chain: CallChain;
  readonly body: RequestBody;
}

interface HttpExchange {
  /** Where the call comes from, if another entry has passed it on. */
  readonly origin: HandoverOrigin | undefined;
  readonly id: string;
  readonly request: IncomingMessage;
  readonly response: TrackedResponse;
}

/** How far a call has come, for the logs. */
export interface CallProgress {
  readonly requestId: string;
  readonly call: string;
  readonly service: string;
  readonly class: string;
  /** Milliseconds since the request was read. */
  readonly ageMs: number;
  /** Milliseconds until its deadline; undefined before it was admitted. */
  readonly leftMs: number | undefined;
  /** Ids of the servers that are processing it. */
  readonly servers: readonly string[];
  /** Whether a part of the answer was written to the caller's connection. */
  readonly answering: boolean;
}

/** Time after which a call may be repeated that an internal error refused. */
const ABORT_RETRY_AFTER_MS = 1_000;

/** Processes one request of a caller from arrival to the final response. */
export class CallExecution {
  readonly #options: CallEnvironment;
  readonly #exchange: HttpExchange;
  readonly #reply: CallReply;
  readonly #handover: CallHandover;
  readonly #arrival: number;
  readonly #admission: CallAdmission;
  #quota: CallQuota | undefined;
  #attempts: CallAttempts | undefined;
  #deadline: number | undefined;
  #deadlineTimer: NodeJS.Timeout | undefined;
  #stopTimer: NodeJS.Timeout | undefined;
  #stopReason: StopReason | undefined;
  /** Whether its duration tells how long calls of its class take. */
  #hasUsualEnd = false;
  #cancelClaim: (() => void) | undefined;
  /** Whether a server or another entry may have got the call. */
  #mayHaveRun = false;
  /** Whether the answer was begun or the call given up. */
  #isServed = false;
  #isResponseClosed = false;

  constructor(options: CallEnvironment, exchange: HttpExchange) {
    this.#options = options;
    this.#exchange = exchange;
    this.#arrival = options.clock.now();
    const arrival = this.#arrival;
    this.#admission = new CallAdmission(options, { ...exchange, arrival });
    const isHandedOver = exchange.origin !== undefined;
    this.#handover = new CallHandover(options, { isHandedOver });
    this.#reply = new CallReply({
      response: exchange.response,
      method: exchange.request.method ?? "GET",
      requestId: this.#callerRequestId ?? exchange.id,
      protocol: options.protocol,
      isHandedOver: this.isHandedOver,
      onEnd: (outcome, fault) => this.#record(outcome, fault),
    });
  }

  /** Whether another entry has passed the call on. */
  get isHandedOver(): boolean {
    return this.#exchange.origin !== undefined;
  }

  /** The request id that the caller sent, if the protocol has one. */
  get #callerRequestId(): string | undefined {
    const { headers } = this.#exchange.request;
    return this.#options.protocol.callerRequestId(headers);
  }

  /** The servers that are processing the call. */
  get servers(): readonly BackendServer[] {
    return this.#attempts?.servers ?? [];
  }

  progress(): CallProgress {
    const now = this.#options.clock.now();
    const deadline = this.#deadline;
    return {
      requestId: this.#callerRequestId ?? this.#exchange.id,
      call: this.#exchange.id,
      service: clip(this.#admission.classified?.service.name ?? "none"),
      class: this.#admission.classified?.class.name ?? "none",
      ageMs: Math.round(now - this.#arrival),
      leftMs: deadline === undefined ? undefined : Math.round(deadline - now),
      servers: this.servers.map(({ id }) => id),
      answering: this.#exchange.response.headersSent,
    };
  }

  async run(): Promise<void> {
    try {
      await this.#run();
    } finally {
      this.#isServed = true;
      this.#releaseIfEnded();
    }
  }

  async #run(): Promise<void> {
    const refusal = this.#handoverRefusal();
    if (refusal) {
      this.#exchange.request.resume();
      this.#reply.refuseHandedOver(refusal);
      return;
    }
    const admitted = this.#admission.admit();
    if (admitted.isErr()) {
      this.#failBeforeClaim(admitted.error);
      return;
    }
    const { call, chain } = admitted.value;
    // The entry that passed the call on has taken its token.
    if (call.access?.tenant !== undefined && !this.isHandedOver) {
      this.#quota = new CallQuota(this.#options);
      const taking = this.#quota.take(call);
      const fault = taking instanceof Promise ? await taking : taking;
      if (fault) {
        this.#failBeforeClaim(fault);
        return;
      }
      // The caller may have closed while an owner was asked.
      if (this.#exchange.response.destroyed) return;
    }
    const { bodyLimits, stopSchedule } = this.#options;
    const schedule = stopSchedule();
    if (schedule) this.beginStop(schedule);
    const body = await readBody(this.#exchange.request, bodyLimits());
    if (body.isErr()) {
      this.#failBeforeClaim(body.error);
      return;
    }
    if (body.value.rest)
      watchBodyLimit(this.#exchange.request, bodyLimits(), (detail) =>
        this.#refuseBody(detail),
      );
    this.#startDeadline(call);
    await this.#serve({ call, chain, body: body.value });
  }

  /** Passes the call on if no server can be reached, else runs it here. */
  async #serve(admittedCall: AdmittedCall): Promise<void> {
    const input = { ...admittedCall, request: this.#exchange.request };
    const isDue = this.#handover.isDue(input.call.service);
    if (isDue && (await this.#passOn(input))) return;
    if (isDue && !this.#handover.mayTryHere(input)) {
      this.#refuseNowhere();
      return;
    }
    const ignoresCut = isDue;
    const result = this.#admission.usesIdempotencyKey
      ? await this.#runWithClaim(admittedCall, { ignoresCut })
      : await this.#runAttempts(admittedCall, { ignoresCut });
    if (!result) return;
    const attempts = this.#attempts;
    if (
      attempts &&
      this.#handover.isDueAfter(result, { input, attempts }) &&
      (await this.#passOn(input))
    )
      return;
    this.#sendResult(result);
  }

  /** Refuses a call that neither this nor another entry can serve. */
  #refuseNowhere(): void {
    if (this.isHandedOver) this.#reply.refuseHandedOver("cut_off");
    else this.#failBeforeClaim(cutOffFault());
  }

  /** Ends the call, a part of whose body a server may have. */
  #refuseBody(detail: string): void {
    const outcome = this.#mayHaveRun ? "unknown" : "not-run";
    const fault = callFault("body_too_large", { outcome, detail });
    this.#reply.fail(this.#admission.faultBeforeClaim(fault));
    this.#stop("caller_closed");
  }

  #failBeforeClaim(fault: CallFault): void {
    this.#reply.fail(this.#admission.faultBeforeClaim(fault));
  }

  /** Passes the call on; false if no entry has taken it. */
  async #passOn(input: HandoverInput): Promise<boolean> {
    if (this.#stopReason) return false;
    const hadRun = this.#mayHaveRun;
    this.#mayHaveRun = true;
    const result = await this.#handover.run(input);
    if (result.type === "not_taken") this.#mayHaveRun = hadRun;
    switch (result.type) {
      case "answer":
        this.#reply.forwardHandedOver(result.response, result.outcome);
        return true;
      case "lost":
        this.#reply.fail(this.#lostFault(result.detail));
        return true;
      case "not_taken":
        return false;
    }
  }

  #lostFault(detail: string): CallFault {
    const outcome = "unknown";
    return this.#stopReason === "expired"
      ? callFault("deadline_expired", { outcome })
      : callFault("server_failed", { outcome, detail });
  }

  /** To be called when this entry reaches no server of the service any more. */
  cutOff(service: string): void {
    if (this.#admission.classified?.service.name !== service) return;
    this.#attempts?.cutOff();
  }

  /** Gives the call up if it runs at servers of this service. */
  giveUpRunning(service: string): void {
    if (this.#admission.classified?.service.name !== service) return;
    this.#attempts?.giveUpRunning();
  }

  #handoverRefusal(): HandoverRefusal | undefined {
    const { origin } = this.#exchange;
    if (!origin) return undefined;
    const { ready, stopSchedule, configuration, handedOverCalls } =
      this.#options;
    return handoverRefusal(origin, {
      isReady: ready(),
      isStopping: stopSchedule() !== undefined,
      version: configuration().version,
      handedOverCalls: handedOverCalls(),
    });
  }

  /** Refuses the call if it is not sent to a server early enough. */
  beginStop(schedule: StopSchedule): void {
    const call = this.#admission.stoppableCall;
    if (!call) return;
    const ms = schedule.sendBy(call) - this.#options.clock.now();
    clearTimeout(this.#stopTimer);
    this.#stopTimer = setTimeout(
      () => this.#stopWaiting("entry_stops"),
      Math.max(0, ms),
    );
  }

  /** To be called when the response is closed, whether complete or not. */
  onResponseClosed(): void {
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#stopTimer);
    if (!this.#mayHaveRun) this.#quota?.giveBack();
    this.#isResponseClosed = true;
    this.#releaseIfEnded();
    const { writableFinished, brokenBy } = this.#exchange.response;
    if (writableFinished) {
      if (this.#hasUsualEnd) this.#admission.recordDuration();
      return;
    }
    this.#options.metrics.recordBrokenAnswer(brokenBy ?? "client");
    this.#stop(brokenBy === "server" ? "entry_closed" : "caller_closed");
  }

  /**
   * Gives back what the call still holds. A call may go on after its caller has closed,
   * and its answer be sent after its attempts have ended.
   */
  #releaseIfEnded(): void {
    if (this.#isServed && this.#isResponseClosed) this.#attempts?.release();
  }

  /** Ends the call after an internal error, with what is known of it. */
  abort(): void {
    const detail = "internal error of the entry";
    const fault = this.#mayHaveRun
      ? callFault("server_failed", { outcome: "unknown", detail })
      : callFault("not_ready", { detail, retryAfterMs: ABORT_RETRY_AFTER_MS });
    try {
      this.#reply.fail(fault);
    } catch {
      // The answer itself may be what fails.
      this.#exchange.response.destroy();
    }
    this.#stop("entry_closed");
  }

  #startDeadline(call: Call): void {
    this.#deadline = call.deadline;
    const ms = Math.max(0, call.deadline - this.#options.clock.now());
    this.#deadlineTimer = setTimeout(() => this.#stop("expired"), ms);
  }

  async #runAttempts(
    admittedCall: AdmittedCall,
    { ignoresCut }: { ignoresCut: boolean },
  ): Promise<CallAttemptsResult> {
    const { request } = this.#exchange;
    const fingerprint = this.#fingerprint(admittedCall);
    const attempts = new CallAttempts(this.#options, {
      ...admittedCall,
      request,
      fingerprint,
      ignoresCut,
    });
    this.#attempts = attempts;
    if (this.#stopReason) {
      return { type: "fault", fault: stopFault(this.#stopReason) };
    }
    this.#mayHaveRun = true;
    return attempts.run();
  }

  /**
   * Runs a non-repeatable request once its idempotency key is claimed;
   * undefined if it was answered without a run.
   */
  async #runWithClaim(
    admittedCall: AdmittedCall,
    options: { ignoresCut: boolean },
  ): Promise<CallAttemptsResult | undefined> {
    const { call, body } = admittedCall;
    const key = this.#exchange.request.headers[HEADERS.key];
    if (typeof key !== "string") {
      const detail = `class ${call.class} needs the header ${HEADERS.key}`;
      this.#reply.fail(callFault("key_required", { detail }));
      return undefined;
    }
    const decision = await this.#claim(call, { key, body });
    if (decision.type === "denied") {
      this.#reply.fail(decision.fault);
      return undefined;
    }
    if (decision.type === "replayed") {
      this.#reply.replay(decision.answer);
      return undefined;
    }
    // After an internal error, the request may have been executed.
    let settlement: Settlement = { type: "ran" };
    try {
      const result = await this.#runAttempts(admittedCall, options);
      settlement = settlementOf(result);
      return result;
    } finally {
      this.#options.claims.settle(call.id, settlement);
    }
  }

  /**
   * Identifies the request and its resends, to detect those that crash servers.
   */
  #fingerprint({ call, body }: AdmittedCall): string | undefined {
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

  #sendResult(result: CallAttemptsResult): void {
    if (result.type === "answer") this.#reply.forward(result.response);
    else if (this.#goesBack(result.fault))
      this.#reply.refuseHandedOver("cut_off");
    else this.#reply.fail(result.fault);
  }

  /** Whether the entry that passed the call on should ask another one. */
  #goesBack({ outcome }: CallFault): boolean {
    const service = this.#admission.classified?.service.name;
    if (!this.isHandedOver || service === undefined) return false;
    return outcome === "not-run" && this.#handover.isDue(service);
  }

  #stop(reason: StopReason): void {
    // A non-repeatable request continues when its caller disconnects, so that a
    // resend gets the stored response instead of an unknown outcome.
    const isAtMostOnce =
      this.#admission.classified?.class.repeatable === false &&
      this.#admission.usesIdempotencyKey;
    const isRunning = this.servers.length > 0 || this.#handover.isRunning;
    const isClosed = reason === "caller_closed" || reason === "entry_closed";
    if (isClosed && isAtMostOnce && isRunning) return;
    if (!this.#stopReason || this.#stopReason === "entry_stops") {
      this.#stopReason = reason;
    }
    // At the deadline the claim resolves by itself, with what is known by then.
    if (isClosed) this.#cancelClaim?.();
    this.#attempts?.stop(reason);
    this.#handover.stop();
    if (reason === "expired") this.#reply.expire();
  }

  /** Makes no attempt that has not begun; those at servers go on. */
  #stopWaiting(reason: StopReason): void {
    this.#stopReason ??= reason;
    this.#attempts?.stopWaiting(reason);
  }

  #record(outcome: Outcome, fault?: CallFault): void {
    this.#hasUsualEnd =
      outcome === "answered" || fault?.code === "deadline_expired";
    const { metrics, clock, logger, configuration } = this.#options;
    clearTimeout(this.#deadlineTimer);
    if (outcome === "not-run" || !this.#mayHaveRun) this.#quota?.giveBack();
    const ms = clock.now() - this.#arrival;
    const service = this.#admission.classified?.service.name ?? "none";
    const className = this.#admission.classified?.class.name ?? "none";
    const route = this.#admission.classified?.route?.route;
    metrics.recordCall({
      service,
      class: className,
      outcome,
      ...(fault && { code: fault.code }),
      rank: this.#admission.rank,
      reason: fault?.reason,
      ms,
    });
    logger.info("call", {
      requestId: this.#callerRequestId ?? this.#exchange.id,
      call: this.#exchange.id,
      service: clip(service),
      class: className,
      rank: this.#admission.rank,
      route: route && clip(route),
      tenant: this.#admission.tenant,
      outcome,
      code: fault?.code,
      detail: fault?.detail,
      reason: fault?.reason,
      retryAfterMs: fault?.retryAfterMs,
      stopped: this.#stopReason,
      objectiveMs: this.#admission.classified?.class.targetMs,
      ms: Math.round(ms),
      attempts: this.#attempts?.records,
      handovers: this.#handover.records,
      handedOverBy: this.#exchange.origin,
      configuration: configuration(),
    });
  }
}

function clip(name: string): string {
  return name.slice(0, MAX_LOGGED_NAME_LENGTH);
}
