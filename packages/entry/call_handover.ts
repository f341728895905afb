import type { IncomingMessage } from "node:http";
import type { Call } from "#model";
import type { CallAttempts, CallAttemptsResult } from "./call_attempts.ts";
import type { CallEnvironment } from "./call_environment.ts";
import type {
  HandoverAttempt,
  HandoverRecord,
  HandoverResult,
} from "./handover_client.ts";
import type { HandoverRefusal } from "./handover_protocol.ts";
import type { RequestBody } from "./request_body.ts";

/** Handed-over calls that an entry runs at a time; it refuses further ones. */
const MAX_HANDED_OVER_CALLS = 256;

/** A call with its request, as another entry needs it. */
export interface HandoverInput {
  readonly call: Call;
  readonly request: IncomingMessage;
  readonly body: RequestBody;
}

/**
 * Passes a call on to another entry while this one reaches no server of its
 * service. A call is passed on once: one that another entry has passed on goes
 * back as refused.
 */
export class CallHandover {
  readonly #options: CallEnvironment;
  readonly #isHandedOver: boolean;
  #attempt: HandoverAttempt | undefined;

  constructor(
    options: CallEnvironment,
    { isHandedOver }: { isHandedOver: boolean },
  ) {
    this.#options = options;
    this.#isHandedOver = isHandedOver;
  }

  /** The entries that were asked, for the log; undefined if none was. */
  get records(): readonly HandoverRecord[] | undefined {
    return this.#attempt?.records;
  }

  /** Whether another entry has the call. */
  get isRunning(): boolean {
    return this.#attempt?.isRunning === true;
  }

  /** Whether a new call should be passed on, or refused if it was before. */
  isDue(service: string): boolean {
    return this.#options.paths.isCutOff(service);
  }

  /** Whether servers may be tried here if no other entry takes the call. */
  mayTryHere({ call, body }: HandoverInput): boolean {
    if (this.#isHandedOver || body.rest) return false;
    return this.#options.paths.hasAnswered(call.service);
  }

  /**
   * Whether to pass a call on that has failed here because of the cut: one that
   * did not run, or one that may be repeated and got no answer, within the budget
   * for that. A call whose connection broke may have crashed its server, which
   * nobody can tell during a cut.
   */
  isDueAfter(
    result: CallAttemptsResult,
    { input, attempts }: { input: HandoverInput; attempts: CallAttempts },
  ): boolean {
    if (result.type !== "fault" || !attempts.isCutOff) return false;
    if (this.#isHandedOver || this.#attempt || input.body.rest) return false;
    if (result.fault.outcome === "not-run") return true;
    if (!attempts.isGivenUp) return false;
    const budget = this.#options.policies.budget(input.call.service);
    return budget?.tryTake() === true;
  }

  /** Asks other entries to take the call. */
  async run(input: HandoverInput): Promise<HandoverResult> {
    if (this.#isHandedOver) return { type: "not_taken" };
    this.#attempt = this.#options.handovers.attempt(input);
    return this.#attempt.run();
  }

  /** Cancels the call at the entry that has it. */
  stop(): void {
    this.#attempt?.stop();
  }
}

/** Why an entry does not take a handed-over call on; undefined if it does. */
export function handoverRefusal(
  origin: { readonly version: number },
  state: {
    readonly isReady: boolean;
    readonly isStopping: boolean;
    readonly version: number;
    readonly handedOverCalls: number;
  },
): HandoverRefusal | undefined {
  if (!state.isReady) return "not_ready";
  if (state.isStopping) return "stopping";
  // A host must not seem to go back to an older configuration.
  if (origin.version > state.version) return "older_configuration";
  return state.handedOverCalls > MAX_HANDED_OVER_CALLS ? "busy" : undefined;
}
