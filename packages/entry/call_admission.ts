import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { type CallChain, toCallFault } from "#admission";
import {
  type Call,
  type CallAccess,
  type CallFault,
  callFault,
  HEADERS,
} from "#model";
import type { CallEnvironment } from "./call_environment.ts";
import type { ClassifiedRequest } from "./request_classifier.ts";
import type { StoppableCall } from "./stop_schedule.ts";

/** Retry delay sent to callers of an entry that is not ready. */
const NOT_READY_RETRY_MS = 1_000;

/** Classifies a request, and decides whether it is taken on as a call. */
export class CallAdmission {
  readonly #options: CallEnvironment;
  readonly #id: string;
  readonly #request: IncomingMessage;
  readonly #arrival: number;
  #classified: ClassifiedRequest | undefined;
  #call: Call | undefined;

  constructor(
    options: CallEnvironment,
    call: {
      readonly id: string;
      readonly request: IncomingMessage;
      readonly arrival: number;
    },
  ) {
    this.#options = options;
    this.#id = call.id;
    this.#request = call.request;
    this.#arrival = call.arrival;
  }

  /** What the request selects; undefined before `admit`, or if it is unknown. */
  get classified(): ClassifiedRequest | undefined {
    return this.#classified;
  }

  /** The tenant of the request; undefined without one or before `admit`. */
  get tenant(): string | undefined {
    return this.#call?.access?.tenant;
  }

  /** The call's rank; undefined before `admit`, or if it has none. */
  get rank(): number | undefined {
    return this.#call?.rank;
  }

  /** Whether the request is identified by its key; true for unknown classes. */
  get usesIdempotencyKey(): boolean {
    const requestClass = this.#classified?.class;
    return !requestClass?.repeatable && requestClass?.identity !== "request";
  }

  admit(): Result<{ call: Call; chain: CallChain }, CallFault> {
    const { ready, classifier } = this.#options;
    if (!ready()) {
      const retryAfterMs = NOT_READY_RETRY_MS;
      return err(callFault("not_ready", { retryAfterMs }));
    }
    return classifier()
      .classify(this.#request)
      .andThen((classified) => {
        this.#classified = classified;
        return this.#authorize(classified).andThen((caller) =>
          this.#createCall(classified, caller),
        );
      })
      .andThen((admitted) => {
        this.#call = admitted.call;
        return this.#refusedByStop()
          ? err(callFault("entry_stopping"))
          : ok(admitted);
      });
  }

  /**
   * The fault of a call that is refused before its idempotency key was claimed.
   * The outcome of a call with a key is unknown, since an earlier attempt may
   * have been executed.
   */
  faultBeforeClaim(fault: CallFault): CallFault {
    const hasKey = this.#request.headers[HEADERS.key] !== undefined;
    const mayHaveRun = hasKey && this.usesIdempotencyKey;
    return mayHaveRun ? { ...fault, outcome: "unknown" } : fault;
  }

  /** The call as a stop of the entry sees it; undefined before `admit`. */
  get stoppableCall(): StoppableCall | undefined {
    if (!this.#call) return undefined;
    const { policies, clock } = this.#options;
    const { arrival, deadline, repeatable, service, class: name } = this.#call;
    const limitMs = deadline - arrival;
    const expected = policies
      .durations(service, name)
      ?.expected(limitMs, clock.now());
    return expected && { arrival, deadline, repeatable, expected };
  }

  /** Records how long the call took, for the calls of its class. */
  recordDuration(): void {
    if (!this.#classified) return;
    const { service, class: requestClass } = this.#classified;
    const { policies, clock } = this.#options;
    const now = clock.now();
    policies
      .durations(service.name, requestClass.name)
      ?.recordTotal(now - this.#arrival, now);
  }

  /** Whether the entry stops too soon for a call that arrives now. */
  #refusedByStop(): boolean {
    const schedule = this.#options.stopSchedule();
    const call = this.stoppableCall;
    if (!schedule || !call) return false;
    return !schedule.accepts(call);
  }

  /**
   * The access of the request, and the rank of its tenant, else of its route. Without
   * tenants calls have no rank, and wait by the two priorities of their classes.
   */
  #authorize({ route }: ClassifiedRequest) {
    const { keyAccess, clock, protocol } = this.#options;
    const isPublic = route?.isPublic === true;
    const key = protocol.callerKey(this.#request.headers);
    const now = { steady: clock.now(), wall: clock.wallTime() };
    return keyAccess.authorize({ key, isPublic }, now).map((authorization) => ({
      access: authorization?.access,
      rank: authorization && (authorization.tenant?.rank ?? route?.rank),
    }));
  }

  #createCall(
    { service, class: requestClass }: ClassifiedRequest,
    caller: { access: CallAccess | undefined; rank: number | undefined },
  ) {
    const { headers } = this.#request;
    const classDeadlineMs = requestClass.deadlineMs;
    const now = this.#arrival;
    return this.#options.protocol
      .parseChain(headers, { now, classDeadlineMs })
      .mapErr(toCallFault)
      .map((chain) => {
        const { deadline, depth, retries } = chain;
        const call: Call = {
          id: this.#id,
          service: service.name,
          class: requestClass.name,
          priority: requestClass.priority,
          repeatable: requestClass.repeatable,
          arrival: now,
          deadline,
          depth,
          retries,
          attempts: requestClass.attempts,
          target: now + (requestClass.targetMs ?? requestClass.deadlineMs),
          ...(caller.rank !== undefined && { rank: caller.rank }),
          ...(caller.access && { access: caller.access }),
        };
        return { call, chain };
      });
  }
}
