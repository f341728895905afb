import {
  AttemptTracker,
  type CallChain,
  evaluateAttempt,
  HedgedCall,
  RetryBudget,
  type SendBudget,
} from "#admission";
import { type BackendServer, type CallFault, callFault } from "#model";
import type { AssignmentBasis } from "#routing";
import type { StopReason } from "./attempt_result.ts";
import type { BackendResponse } from "./backend_response.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { type EarlierRun, finalFault } from "./final_fault.ts";
import {
  type AttemptInput,
  ServerAttempt,
  type ServerAttemptResult,
} from "./server_attempt.ts";

/** Lowest HTTP status of a server error. */
const MIN_SERVER_ERROR_STATUS = 500;

/** The result of a call after all of its attempts. */
export type CallAttemptsResult =
  | { readonly type: "answer"; readonly response: BackendResponse }
  | { readonly type: "fault"; readonly fault: CallFault };

export interface CallAttemptsInput extends AttemptInput {
  readonly chain: CallChain;
  /** Servers are tried although this entry seems to reach none. */
  readonly ignoresCut: boolean;
}

interface EndedAttempt {
  readonly id: string;
  readonly attempt: ServerAttempt;
  readonly result: ServerAttemptResult;
}

/** Reasons that end only what has not been sent. */
const WAITING_STOPS: ReadonlySet<StopReason> = new Set([
  "entry_stops",
  "cut_off",
]);

/** Log record of one attempt. */
export interface AttemptRecord {
  readonly server?: string;
  readonly end: string;
  /** How the server was chosen. */
  readonly basis?: AssignmentBasis;
  /** Milliseconds until a server was chosen, and from then to the end. */
  readonly waitedMs: number;
  readonly ranMs: number;
  readonly status?: number | undefined;
  readonly detail?: string;
}

/**
 * Runs the attempts of one call, one after another, each with at most one
 * hedge.
 */
export class CallAttempts {
  readonly #options: CallEnvironment;
  readonly #input: CallAttemptsInput;
  readonly #outcome: AttemptTracker;
  readonly #budget: SendBudget;
  readonly #triedServers = new Set<string>();
  readonly #runningAttempts = new Map<string, ServerAttempt>();
  /** Attempts that may hold something, some of them after their result. */
  readonly #openAttempts = new Set<ServerAttempt>();
  #hedgeTimer: NodeJS.Timeout | undefined;
  #stopReason: StopReason | undefined;
  /**
   * The last attempt that ended without proof that the server did not execute
   * it.
   */
  #earlierRun: EarlierRun | undefined;
  #attemptCount = 0;
  #isGivenUp = false;
  /** Number of attempts that were executed or may have been. */
  #possibleRuns = 0;
  readonly #records: AttemptRecord[] = [];
  /** A server's error response, forwarded if no other server responds. */
  #serverError: BackendResponse | undefined;

  constructor(options: CallEnvironment, input: CallAttemptsInput) {
    this.#options = options;
    this.#input = input;
    const { repeatable, service, attempts } = input.call;
    const { chain } = input;
    this.#outcome = new AttemptTracker({
      repeatable,
      chain,
      chargeRefusals: attempts !== undefined,
    });
    const { policies, clock } = options;
    // A service that was just removed from the configuration gets no retries.
    this.#budget =
      policies.budget(service) ?? new RetryBudget({ percent: 0, clock });
    this.#budget.countCall();
  }

  /** Log records of the finished attempts. */
  get records(): readonly AttemptRecord[] {
    return this.#records;
  }

  /** The servers that are processing the call. */
  get servers(): BackendServer[] {
    return [...this.#runningAttempts.values()].flatMap(
      ({ server }) => server ?? [],
    );
  }

  /**
   * To be called when this entry reaches no server any more. Calls that wait are
   * passed on. Those at servers go on, but without their slots, which other
   * entries can use.
   */
  cutOff(): void {
    this.stopWaiting("cut_off");
    for (const attempt of this.#runningAttempts.values()) {
      attempt.releaseEarly();
    }
  }

  /** Cancels what runs at servers that do not answer, if it may be repeated. */
  giveUpRunning(): void {
    if (!this.#input.call.repeatable) return;
    this.#isGivenUp = true;
    this.stop("cut_off");
  }

  /** Whether its requests were cancelled because no server answers. */
  get isGivenUp(): boolean {
    return this.#isGivenUp;
  }

  /** Whether the call was given up because this entry reaches no server. */
  get isCutOff(): boolean {
    return this.#stopReason === "cut_off" || this.#endsWhenCutOff;
  }

  /** Whether the next attempt would meet the same cut. */
  get #endsWhenCutOff(): boolean {
    const { service } = this.#input.call;
    return !this.#input.ignoresCut && this.#options.paths.isCutOff(service);
  }

  /** Stops waiting for a server, and cancels requests in progress. */
  stop(reason: StopReason): void {
    if (!this.#stopReason || WAITING_STOPS.has(this.#stopReason)) {
      this.#stopReason = reason;
    }
    clearTimeout(this.#hedgeTimer);
    for (const attempt of this.#runningAttempts.values()) attempt.stop(reason);
  }

  /** Makes no further attempt; requests that were sent go on. */
  stopWaiting(reason: StopReason): void {
    this.#stopReason ??= reason;
    clearTimeout(this.#hedgeTimer);
    for (const attempt of this.#runningAttempts.values()) {
      attempt.stopWaiting(reason);
    }
  }

  /** Gives back all that attempts still hold; to be called once the call has ended. */
  release(): void {
    for (const attempt of this.#openAttempts) this.#discard(attempt);
  }

  /** Gives back what an attempt holds whose answer is not passed on. */
  #discard(attempt: ServerAttempt): void {
    this.#openAttempts.delete(attempt);
    attempt.release();
  }

  /** Tries servers until one responds or no further attempt is allowed. */
  async run(): Promise<CallAttemptsResult> {
    for (;;) {
      const { attempt, result } = await this.#runWithHedge();
      if (result.type === "rejected") {
        this.#discard(attempt);
        return this.#failure(result.fault);
      }
      const { end, response } = result;
      if (end.type === "answered" && response) {
        if (!this.#mayRetryServerError(response, result.runningMs)) {
          return { type: "answer", response };
        }
        this.#discard(attempt);
        this.#serverError = response;
        this.#triedServers.add(result.server.id);
        continue;
      }
      // The body of a rejection may be long, or have no end.
      this.#discard(attempt);
      if (this.#endsWhenCutOff)
        return this.#failure(this.#fault(result.detail));
      const { clock } = this.#options;
      const now = clock.now();
      const retry =
        this.#possibleRuns <
          (this.#input.call.attempts ?? Number.POSITIVE_INFINITY) &&
        this.#outcome.recordEnd(end, { now, budget: this.#budget });
      if (!retry || this.#stopReason || this.#input.body.rest) {
        return this.#failure(this.#fault(result.detail));
      }
      this.#triedServers.add(result.server.id);
    }
  }

  /**
   * Runs an attempt, and a hedge if it takes long; takes the first response. A
   * rejection is none: the other attempt may be at work.
   */
  #runWithHedge(): Promise<EndedAttempt> {
    return new Promise((resolve, reject) => {
      const hedgedCall = new HedgedCall();
      const firstId = this.#attemptId();
      const onResult = (ended: EndedAttempt) => {
        const { id, attempt, result } = ended;
        this.#runningAttempts.delete(id);
        this.#recordAttempt(result);
        const answered =
          result.type === "ended" && result.end.type === "answered";
        const { final, cancel } = hedgedCall.end(id, answered);
        for (const other of cancel)
          this.#runningAttempts.get(other)?.stop("superseded");
        if (!final) {
          this.#discard(attempt);
          if (result.type === "ended") this.#triedServers.add(result.server.id);
          return;
        }
        clearTimeout(this.#hedgeTimer);
        resolve(ended);
      };
      const start = (id: string, onSent: () => void) => {
        const attempt = new ServerAttempt(this.#options, {
          id,
          input: this.#input,
          chain: this.#outcome.chain,
          tried: this.#triedServers,
        });
        this.#runningAttempts.set(id, attempt);
        this.#openAttempts.add(attempt);
        attempt
          .run(onSent)
          .then((result) => onResult({ id, attempt, result }), reject);
      };
      const startHedge = () => {
        if (this.#possibleRuns + 2 > (this.#input.call.attempts ?? 2)) return;
        const id = this.#attemptId();
        if (!hedgedCall.tryHedge(id, this.#budget)) return;
        const runningServer = this.#runningAttempts.get(firstId)?.server;
        if (runningServer) this.#triedServers.add(runningServer.id);
        start(id, () => undefined);
      };
      hedgedCall.start(firstId);
      start(firstId, () => this.#scheduleHedge(startHedge));
    });
  }

  /** The first attempt uses the call's id; later ones add a number to it. */
  #attemptId(): string {
    this.#attemptCount += 1;
    const { id } = this.#input.call;
    return this.#attemptCount === 1 ? id : `${id}.${this.#attemptCount}`;
  }

  #scheduleHedge(startHedge: () => void): void {
    const { policies, clock } = this.#options;
    const { call, body } = this.#input;
    if (body.rest || this.#stopReason) return;
    const now = clock.now();
    const due = policies.hedging(call.service, call.class)?.hedgeAt(call, now);
    if (due === undefined) return;
    this.#hedgeTimer = setTimeout(startHedge, due - now);
  }

  #recordAttempt(result: ServerAttemptResult): void {
    this.#records.push(toAttemptRecord(result));
    if (result.type === "rejected") return;
    const { policies, clock } = this.#options;
    const { service, class: name, repeatable } = this.#input.call;
    if (result.end.type === "answered") {
      const { runningMs } = result;
      const now = clock.now();
      policies.hedging(service, name)?.observe(runningMs, now);
      policies.durations(service, name)?.recordWork(runningMs, now);
      return;
    }
    // A server that did not answer in time took this long at least.
    if (result.end.type === "timeout") {
      policies
        .durations(service, name)
        ?.recordWork(result.runningMs, clock.now());
    }
    const { outcome } = evaluateAttempt(result.end, { repeatable });
    if (outcome !== "unknown") return;
    this.#earlierRun = { detail: result.detail };
    this.#possibleRuns += 1;
  }

  /** Whether to try another server after a server error. */
  #mayRetryServerError(response: BackendResponse, runningMs: number): boolean {
    const { call, body } = this.#input;
    const { repeatable, attempts = 1 } = call;
    if (response.status < MIN_SERVER_ERROR_STATUS || response.stream)
      return false;
    if (!repeatable || body.rest || this.#stopReason) return false;
    this.#possibleRuns += 1;
    if (this.#possibleRuns >= attempts) return false;
    const leftMs = this.#outcome.chain.remainingMs(this.#options.clock.now());
    return leftMs > runningMs && this.#budget.tryTake();
  }

  #fault(detail: string): CallFault {
    if (this.#stopReason === "expired") return callFault("deadline_expired");
    return callFault("server_failed", { outcome: "not-run", detail });
  }

  /** A failed result that takes the earlier attempts into account. */
  #failure(fault: CallFault): CallAttemptsResult {
    const response = this.#serverError;
    if (response) return { type: "answer", response };
    return { type: "fault", fault: finalFault(fault, this.#earlierRun) };
  }
}

function toAttemptRecord(result: ServerAttemptResult): AttemptRecord {
  const { waitedMs } = result;
  if (result.type === "rejected") {
    const { code, detail } = result.fault;
    return { end: code, waitedMs, ranMs: 0, ...(detail && { detail }) };
  }
  const { server, end, response, runningMs, detail, basis } = result;
  return {
    server: server.id,
    end: end.type,
    basis,
    waitedMs,
    ranMs: Math.round(runningMs),
    status: response?.status,
    ...(!response && { detail }),
  };
}
