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
import type { CallEngineOptions } from "./call_engine.ts";
import type { BackendAnswer } from "./server_answer.ts";
import {
  type AttemptWork,
  ServerAttempt,
  type ServerAttemptEnd,
  type StopReason,
} from "./server_attempt.ts";

/** Statuses from here on are errors of the server. */
const FIRST_SERVER_ERROR = 500;

/** How a call ended, before the caller is told. */
export type CallEnd =
  | { readonly type: "answer"; readonly answer: BackendAnswer }
  | { readonly type: "fault"; readonly fault: CallFault };

/** One attempt as the log tells it. */
export interface AttemptRecord {
  readonly server?: string;
  readonly end: string;
  /** What decided on the server. */
  readonly basis?: AssignmentBasis;
  /** Time until a server was chosen, and from then on, in milliseconds. */
  readonly waitedMs: number;
  readonly ranMs: number;
  readonly status?: number | undefined;
  readonly detail?: string;
}

/** The attempts of one call: retries one after the other, and one hedge. */
export class CallAttempts {
  readonly #options: CallEngineOptions;
  readonly #work: AttemptWork;
  readonly #outcome: AttemptTracker;
  readonly #budget: SendBudget;
  readonly #exclude = new Set<string>();
  readonly #running = new Map<string, ServerAttempt>();
  #hedgeTimer: NodeJS.Timeout | undefined;
  #stopped: StopReason | undefined;
  /** An attempt ended without proof that the server did not run it. */
  #mayHaveRun = false;
  #attempts = 0;
  /** Attempts that ran, or may have. */
  #ran = 0;
  readonly #trail: AttemptRecord[] = [];
  /** A server's error, which is the answer if no other server gives one. */
  #serverError: BackendAnswer | undefined;

  constructor(
    options: CallEngineOptions,
    work: AttemptWork & { readonly chain: CallChain },
  ) {
    this.#options = options;
    this.#work = work;
    const { repeatable, service, attempts } = work.call;
    const { chain } = work;
    this.#outcome = new AttemptTracker({
      repeatable,
      chain,
      chargeRefusals: attempts !== undefined,
    });
    const { policies, clock } = options;
    // A service that has just left the document has no retries.
    this.#budget =
      policies.budget(service) ?? new RetryBudget({ percent: 0, clock });
    this.#budget.countCall();
  }

  /** What became of each attempt, for the log. */
  get trail(): readonly AttemptRecord[] {
    return this.#trail;
  }

  /** The servers that run the call now. */
  get servers(): BackendServer[] {
    return [...this.#running.values()].flatMap(({ server }) => server ?? []);
  }

  /** Ends the wait for a server, or cancels the request where it runs. */
  stop(reason: StopReason): void {
    this.#stopped ??= reason;
    clearTimeout(this.#hedgeTimer);
    for (const attempt of this.#running.values()) attempt.stop(reason);
  }

  /** Tries servers until one answers or no further attempt is allowed. */
  async run(): Promise<CallEnd> {
    for (;;) {
      const ended = await this.#race();
      if (ended.type === "rejected") return this.#failed(ended.fault);
      const { end, answer } = ended;
      if (end.type === "answered" && answer) {
        if (!this.#mayAskAnother(answer, ended.runningMs)) {
          return { type: "answer", answer };
        }
        this.#serverError = answer;
        this.#exclude.add(ended.server.id);
        continue;
      }
      const { clock } = this.#options;
      const now = clock.now();
      const again =
        this.#ran < (this.#work.call.attempts ?? Number.POSITIVE_INFINITY) &&
        this.#outcome.recordEnd(end, { now, budget: this.#budget });
      if (!again || this.#stopped || this.#work.body.rest) {
        return this.#failed(this.#fault(ended.detail));
      }
      this.#exclude.add(ended.server.id);
    }
  }

  /** Runs one attempt, and a hedge if it takes long; the first answer wins. */
  #race(): Promise<ServerAttemptEnd> {
    return new Promise((resolve, reject) => {
      const hedged = new HedgedCall();
      const first = this.#attemptId();
      const ended = (id: string, end: ServerAttemptEnd) => {
        this.#running.delete(id);
        this.#note(end);
        const answered = end.type === "ended" && end.answer !== undefined;
        const { final, cancel } = hedged.end(id, answered);
        for (const other of cancel) this.#running.get(other)?.stop("outrun");
        if (!final) return;
        clearTimeout(this.#hedgeTimer);
        resolve(end);
      };
      const start = (id: string, sent: () => void) => {
        const attempt = new ServerAttempt(this.#options, {
          id,
          work: this.#work,
          chain: this.#outcome.chain,
          exclude: this.#exclude,
        });
        this.#running.set(id, attempt);
        attempt.run(sent).then((end) => ended(id, end), reject);
      };
      const hedge = () => {
        if (this.#ran + 2 > (this.#work.call.attempts ?? 2)) return;
        const id = this.#attemptId();
        if (!hedged.tryHedge(id, this.#budget)) return;
        const running = this.#running.get(first)?.server;
        if (running) this.#exclude.add(running.id);
        start(id, () => undefined);
      };
      hedged.start(first);
      start(first, () => this.#planHedge(hedge));
    });
  }

  /** The first attempt keeps the call's id; later ones get their own. */
  #attemptId(): string {
    this.#attempts += 1;
    const { id } = this.#work.call;
    return this.#attempts === 1 ? id : `${id}.${this.#attempts}`;
  }

  #planHedge(hedge: () => void): void {
    const { policies, clock } = this.#options;
    const { call, body } = this.#work;
    if (body.rest || this.#stopped) return;
    const now = clock.now();
    const due = policies.hedging(call.service, call.class)?.hedgeAt(call, now);
    if (due === undefined) return;
    this.#hedgeTimer = setTimeout(hedge, due - now);
  }

  #note(ended: ServerAttemptEnd): void {
    this.#trail.push(recordOf(ended));
    if (ended.type === "rejected") return;
    const { policies, clock } = this.#options;
    const { service, class: name, repeatable } = this.#work.call;
    if (ended.end.type === "answered") {
      const hedging = policies.hedging(service, name);
      hedging?.observe(ended.runningMs, clock.now());
      return;
    }
    const { outcome } = evaluateAttempt(ended.end, { repeatable });
    if (outcome !== "unknown") return;
    this.#mayHaveRun = true;
    this.#ran += 1;
  }

  /** Whether another server is asked because this one answered an error. */
  #mayAskAnother(answer: BackendAnswer, runningMs: number): boolean {
    const { call, body } = this.#work;
    const { repeatable, attempts = 1 } = call;
    if (answer.status < FIRST_SERVER_ERROR || answer.stream) return false;
    if (!repeatable || body.rest || this.#stopped) return false;
    this.#ran += 1;
    if (this.#ran >= attempts) return false;
    const leftMs = this.#outcome.chain.remainingMs(this.#options.clock.now());
    return leftMs > runningMs && this.#budget.tryTake();
  }

  #fault(detail: string): CallFault {
    if (this.#stopped === "expired") return callFault("deadline_expired");
    return callFault("server_failed", { outcome: "not-run", detail });
  }

  /** A fault that no earlier attempt contradicts. */
  #failed(fault: CallFault): CallEnd {
    const answer = this.#serverError;
    if (answer) return { type: "answer", answer };
    if (!this.#mayHaveRun) return { type: "fault", fault };
    const { code, detail } = fault;
    return {
      type: "fault",
      fault: callFault(code, { outcome: "unknown", detail }),
    };
  }
}

function recordOf(ended: ServerAttemptEnd): AttemptRecord {
  const { waitedMs } = ended;
  if (ended.type === "rejected") {
    const { code, detail } = ended.fault;
    return { end: code, waitedMs, ranMs: 0, ...(detail && { detail }) };
  }
  const { server, end, answer, runningMs, detail, basis } = ended;
  return {
    server: server.id,
    end: end.type,
    basis,
    waitedMs,
    ranMs: Math.round(runningMs),
    status: answer?.status,
    ...(!answer && { detail }),
  };
}
