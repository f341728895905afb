import type { BackendServerId, Entry, HostId, Priority } from "#model";
import type { SendEffect } from "./effects.ts";
import type {
  DispatchGrant,
  DispatchReport,
  ReleasedSlot,
  ServerRateLimit,
  SlotRequest,
  TakenSlot,
} from "./messages.ts";
import type { SequenceNumbers } from "./sequence_numbers.ts";

/**
 * Time without an answer of the dispatcher after which an entry chooses servers
 * locally.
 */
export const FALLBACK_MS = 30;
/** The same for long-running calls, where waiting costs relatively less. */
const FALLBACK_LONG_RUNNING_MS = 160;
/** Time until the next attempt to join the dispatcher. */
const JOIN_INTERVAL_MS = 100;
/**
 * The longest one; it doubles with each attempt in a row without an answer in time.
 * A dispatcher that answers too late would get a report of each entry 6 times a
 * second otherwise.
 */
const JOIN_INTERVAL_MAX_MS = 800;
/**
 * Time without an answer after which joining is given up. It is longer than the
 * fallback, since a joining entry chooses servers locally anyway.
 */
const JOIN_TIMEOUT_MS = 60;
/**
 * Time without a message after which an entry with waiting calls asks the
 * dispatcher for an answer.
 */
const PING_AFTER_MS = 10;
const PING_AFTER_LONG_RUNNING_MS = 80;
/** Interval of full reports, which make up for lost messages. */
const REPORT_INTERVAL_MS = 200;
const REPORT_INTERVAL_LONG_RUNNING_MS = 600;
/**
 * An entry without calls detaches after this time, before its lease at the
 * dispatcher expires.
 */
const LEAVE_AFTER_MS = 500;

/**
 * Time by which a call of this entry may overtake another entry's first waiting
 * call when it reuses a slot.
 */
const REUSE_TOLERANCE_MS = 5;

export type LinkState = "detached" | "joining" | "attached";

/** The calls that an entry lists in a report. */
export type EntryState = Pick<
  DispatchReport,
  "taken" | "wanted" | "rateLimits" | "rateLimitVersion"
>;

/**
 * An entry's side of the exchange with one service's dispatcher. Changes are
 * collected and sent together by `flush`.
 */
export class DispatchLink {
  readonly #service: string;
  readonly #sequenceNumbers: SequenceNumbers;
  #state: LinkState = "detached";
  #unreachable = false;
  /** Version of this dispatcher's rate limits that the entry knows. */
  #rateLimitVersion: number | undefined;
  #dispatcher: HostId | undefined;
  #incarnation = 0;
  #epoch = 0;
  #lastSequence = 0;
  /** Sequence number of the newest message that the dispatcher must answer. */
  #lastQuestion = 0;
  /** Sequence number of the report that joins the dispatcher. */
  #joinQuestion = 0;
  #awaitingSince: number | undefined;
  #lastReceived = 0;
  #lastReport = Number.NEGATIVE_INFINITY;
  #lastUsed = Number.NEGATIVE_INFINITY;
  #joinAt = 0;
  #joinIntervalMs = JOIN_INTERVAL_MS;
  /** Whether updates were sent since the last report. */
  #changedSinceReport = false;
  #credits: BackendServerId[] = [];
  #firstWaitedMs: DispatchGrant["waitedMs"] = { urgent: -1, patient: -1 };
  #patientDue = false;
  #avoid: readonly BackendServerId[] = [];
  #wanted: SlotRequest[] = [];
  #taken: TakenSlot[] = [];
  #released: ReleasedSlot[] = [];
  #cancelled: number[] = [];
  #rateLimits: ServerRateLimit[] = [];

  constructor(service: string, sequenceNumbers: SequenceNumbers) {
    this.#service = service;
    this.#sequenceNumbers = sequenceNumbers;
  }

  get state(): LinkState {
    return this.#state;
  }

  get dispatcher(): HostId | undefined {
    return this.#dispatcher;
  }

  /**
   * Whether changes are sent to the dispatcher: the entry is joining or
   * attached.
   */
  get sendsUpdates(): boolean {
    return this.#state !== "detached";
  }

  /** Whether the dispatcher was lost or has not answered, and not since. */
  get isUnreachable(): boolean {
    return this.#unreachable || this.#dispatcher === undefined;
  }

  get rateLimitVersion(): number | undefined {
    return this.#rateLimitVersion;
  }

  get hasCredits(): boolean {
    return this.#credits.length > 0;
  }

  /** Switches to the dispatcher of a new view, which the entry then joins. */
  configure(
    dispatcher: Pick<Entry, "id" | "incarnation"> | undefined,
    epoch: number,
  ): void {
    const { id, incarnation = 0 } = dispatcher ?? {};
    const same = id === this.#dispatcher && incarnation === this.#incarnation;
    if (epoch === this.#epoch && same) return;
    if (!same) {
      this.#lastSequence = 0;
      this.#rateLimitVersion = undefined;
    }
    this.#dispatcher = id;
    this.#incarnation = incarnation;
    this.#epoch = epoch;
    this.#joinAt = 0;
    this.#joinIntervalMs = JOIN_INTERVAL_MS;
    this.#unreachable = false;
    this.#reset();
  }

  /** Detaches after the connection to the dispatcher was lost. */
  disconnected(now: number): void {
    this.#lastSequence = 0;
    this.giveUp(now);
  }

  /** Detaches from a dispatcher that does not answer. */
  giveUp(now: number): void {
    this.#unreachable = true;
    const intervalMs = this.#joinIntervalMs;
    if (this.#state === "joining") {
      this.#joinIntervalMs = Math.min(2 * intervalMs, JOIN_INTERVAL_MAX_MS);
    }
    this.detach(now);
    this.#joinAt = now + intervalMs;
  }

  detach(now: number): void {
    this.#reset();
    this.#joinAt = now + JOIN_INTERVAL_MS;
  }

  /** Whether the entry should join the dispatcher now. */
  joinDue(now: number): boolean {
    return (
      this.#state === "detached" &&
      this.#dispatcher !== undefined &&
      now >= this.#joinAt
    );
  }

  /** Whether the dispatcher has not answered in time. */
  answerOverdue(now: number, longRunning: boolean): boolean {
    if (this.#awaitingSince === undefined) return false;
    const fallbackMs = longRunning ? FALLBACK_LONG_RUNNING_MS : FALLBACK_MS;
    const limit = this.#state === "joining" ? JOIN_TIMEOUT_MS : fallbackMs;
    return now - this.#awaitingSince > limit;
  }

  reportDue(now: number, longRunning: boolean): boolean {
    if (this.#state !== "attached") return false;
    const intervalMs = longRunning
      ? REPORT_INTERVAL_LONG_RUNNING_MS
      : REPORT_INTERVAL_MS;
    return this.#changedSinceReport && now - this.#lastReport >= intervalMs;
  }

  idle(now: number): boolean {
    return this.sendsUpdates && now - this.#lastUsed > LEAVE_AFTER_MS;
  }

  /** Sends the whole state of this entry; joins the dispatcher if detached. */
  report(state: EntryState, now: number): SendEffect[] {
    if (this.#dispatcher === undefined) return [];
    this.#clearPending();
    this.#lastReport = now;
    this.#lastUsed = now;
    this.#changedSinceReport =
      state.taken.length > 0 || state.wanted.length > 0;
    const sequence = this.#nextQuestion(now);
    if (this.#state === "detached") {
      this.#state = "joining";
      this.#joinQuestion = sequence;
    }
    const payload: DispatchReport = {
      service: this.#service,
      epoch: this.#epoch,
      sequence,
      seen: this.#lastSequence,
      credits: [...this.#credits],
      ...state,
    };
    const to = this.#dispatcher;
    return [{ type: "send", to, kind: "dispatch_report", payload }];
  }

  addRequest(request: SlotRequest): void {
    this.#wanted.push(request);
  }

  addTaken(taken: TakenSlot): void {
    this.#taken.push(taken);
  }

  addReleased(released: ReleasedSlot): void {
    this.#released.push(released);
  }

  addCancelled(ticket: number): void {
    this.#cancelled.push(ticket);
  }

  addRateLimit(limit: ServerRateLimit): void {
    this.#rateLimits.push(limit);
  }

  /** Servers with a slot that may be taken without asking, one item a slot. */
  get credits(): readonly BackendServerId[] {
    return this.#credits;
  }

  /** Uses up one credit for a server, if there is one. */
  consumeCredit(server: BackendServerId): void {
    const index = this.#credits.indexOf(server);
    if (index >= 0) this.#credits.splice(index, 1);
  }

  /**
   * Sends the collected changes, if any; `ping` asks for an answer in any case.
   */
  flush(now: number, ping = false): SendEffect[] {
    const changes =
      this.#wanted.length +
      this.#taken.length +
      this.#released.length +
      this.#cancelled.length +
      this.#rateLimits.length;
    if (!this.sendsUpdates || this.#dispatcher === undefined) {
      this.#clearPending();
      return [];
    }
    if (changes === 0 && !ping) return [];
    const asks = ping || this.#wanted.length > 0;
    const sequence = asks
      ? this.#nextQuestion(now)
      : this.#sequenceNumbers.next();
    this.#changedSinceReport = true;
    this.#lastUsed = now;
    const payload = {
      service: this.#service,
      epoch: this.#epoch,
      sequence,
      wanted: orSharedEmpty(this.#wanted),
      taken: orSharedEmpty(this.#taken),
      released: orSharedEmpty(this.#released),
      cancelled: orSharedEmpty(this.#cancelled),
      ping,
      ...(this.#rateLimits.length > 0 && { rateLimits: this.#rateLimits }),
    };
    this.#clearPending();
    const to = this.#dispatcher;
    return [{ type: "send", to, kind: "dispatch_update", payload }];
  }

  pingDue(now: number, longRunning: boolean): boolean {
    const afterMs = longRunning ? PING_AFTER_LONG_RUNNING_MS : PING_AFTER_MS;
    return (
      this.#state === "attached" &&
      this.#awaitingSince === undefined &&
      now - this.#lastReceived >= afterMs
    );
  }

  /**
   * Applies a message from the dispatcher; false if it is outdated, a
   * duplicate, or from another sender.
   */
  accept(from: HostId, grant: DispatchGrant, now: number): boolean {
    if (from !== this.#dispatcher || grant.epoch !== this.#epoch) return false;
    if (grant.sequence <= this.#lastSequence) return false;
    this.#lastSequence = grant.sequence;
    if (this.#state === "detached") return false;
    // An answer to a join that was given up shows that answers come too late.
    const answersJoin = grant.acknowledged >= this.#joinQuestion;
    if (this.#state === "joining" && !answersJoin) return false;
    this.#state = "attached";
    this.#joinIntervalMs = JOIN_INTERVAL_MS;
    this.#unreachable = false;
    this.#rateLimitVersion =
      grant.rateLimits?.version ?? this.#rateLimitVersion;
    this.#lastReceived = now;
    const answered = grant.acknowledged >= this.#lastQuestion;
    this.#awaitingSince = answered ? undefined : now;
    for (const server of grant.revoked) this.consumeCredit(server);
    this.#credits.push(...grant.credits);
    this.#firstWaitedMs = grant.waitedMs;
    this.#patientDue = grant.patientDue;
    this.#avoid = grant.avoid;
    return true;
  }

  /**
   * Whether a call that has waited this long may use the slot of a finished
   * call without asking, because the dispatcher would grant it to this call
   * anyway.
   */
  mayReuse(
    server: BackendServerId,
    call: { priority: Priority; waitedMs: number },
  ): boolean {
    if (this.#patientDue || this.#avoid.includes(server)) return false;
    const { urgent, patient } = this.#firstWaitedMs;
    if (call.priority === "patient" && urgent >= 0) return false;
    const firstWaitedMs = call.priority === "urgent" ? urgent : patient;
    return call.waitedMs + REUSE_TOLERANCE_MS >= firstWaitedMs;
  }

  #nextQuestion(now: number): number {
    this.#lastQuestion = this.#sequenceNumbers.next();
    this.#awaitingSince ??= now;
    return this.#lastQuestion;
  }

  #reset(): void {
    this.#state = "detached";
    this.#awaitingSince = undefined;
    this.#credits = [];
    this.#clearPending();
  }

  /** Replaces only non-empty lists, since most lists stay empty. */
  #clearPending(): void {
    if (this.#wanted.length > 0) this.#wanted = [];
    if (this.#taken.length > 0) this.#taken = [];
    if (this.#released.length > 0) this.#released = [];
    if (this.#cancelled.length > 0) this.#cancelled = [];
    if (this.#rateLimits.length > 0) this.#rateLimits = [];
  }
}

const EMPTY: readonly never[] = [];

/**
 * Returns a shared empty list for an empty one, which is filled later, after
 * the message was sent.
 */
function orSharedEmpty<T>(list: readonly T[]): readonly T[] {
  return list.length > 0 ? list : EMPTY;
}
