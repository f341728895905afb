import type { BackendServerId, Entry, HostId, Priority } from "#model";
import type { SendEffect } from "./effects.ts";
import type {
  DispatchGrant,
  DispatchReport,
  Released,
  Taken,
  Wanted,
} from "./messages.ts";
import type { Numbers } from "./numbers.ts";

/** Silence of the dispatcher after which an entry chooses locally. */
export const FALLBACK_MS = 30;
/** The same where work is long, so that less is lost by waiting. */
const FALLBACK_LONG_WORK_MS = 160;
/** Interval of attempts to join the dispatcher. */
const JOIN_EVERY_MS = 100;
/** A joining entry chooses locally anyway, so it can wait longer. */
const JOIN_TIMEOUT_MS = 60;
/** Silence after which an entry with waiting calls asks for an answer. */
const PING_AFTER_MS = 10;
const PING_AFTER_LONG_WORK_MS = 80;
/** Interval of full reports, which repair lost messages. */
const REPORT_EVERY_MS = 200;
const REPORT_EVERY_LONG_WORK_MS = 600;
/** An entry without calls leaves; earlier than the dispatcher forgets it. */
const LEAVE_AFTER_MS = 500;

/** Lead that a call of this entry may take over another entry's. */
const REUSE_TOLERANCE_MS = 5;

export type LinkState = "detached" | "joining" | "attached";

/** What an entry tells in a report. */
export type EntryState = Pick<DispatchReport, "taken" | "wanted">;

/** An entry's side of the conversation with one service's dispatcher. */
export class DispatchLink {
  readonly #service: string;
  readonly #numbers: Numbers;
  #state: LinkState = "detached";
  #dispatcher: HostId | undefined;
  #incarnation = 0;
  #epoch = 0;
  #seen = 0;
  /** The newest message that the dispatcher must answer. */
  #asked = 0;
  #awaitingSince: number | undefined;
  #lastReceived = 0;
  #lastReport = Number.NEGATIVE_INFINITY;
  #lastUsed = Number.NEGATIVE_INFINITY;
  #joinAt = 0;
  /** Messages were sent since the last report. */
  #changed = false;
  #credits: BackendServerId[] = [];
  #heads: DispatchGrant["waitedMs"] = { urgent: -1, patient: -1 };
  #patientDue = false;
  #avoid: readonly BackendServerId[] = [];
  #wanted: Wanted[] = [];
  #taken: Taken[] = [];
  #released: Released[] = [];
  #cancelled: number[] = [];

  constructor(service: string, numbers: Numbers) {
    this.#service = service;
    this.#numbers = numbers;
  }

  get state(): LinkState {
    return this.#state;
  }

  get dispatcher(): HostId | undefined {
    return this.#dispatcher;
  }

  /** Whether the dispatcher must be told of changes. */
  get streaming(): boolean {
    return this.#state !== "detached";
  }

  get hasCredits(): boolean {
    return this.#credits.length > 0;
  }

  /** Takes over the dispatcher of a view; the entry joins it anew. */
  configure(
    dispatcher: Pick<Entry, "id" | "incarnation"> | undefined,
    epoch: number,
  ): void {
    const { id, incarnation = 0 } = dispatcher ?? {};
    const same = id === this.#dispatcher && incarnation === this.#incarnation;
    if (epoch === this.#epoch && same) return;
    if (!same) this.#seen = 0;
    this.#dispatcher = id;
    this.#incarnation = incarnation;
    this.#epoch = epoch;
    this.#joinAt = 0;
    this.#clear();
  }

  /** The connection to the dispatcher is lost. */
  lost(now: number): void {
    this.#seen = 0;
    this.detach(now);
  }

  detach(now: number): void {
    this.#clear();
    this.#joinAt = now + JOIN_EVERY_MS;
  }

  /** Whether the entry should join now. */
  joinDue(now: number): boolean {
    return (
      this.#state === "detached" &&
      this.#dispatcher !== undefined &&
      now >= this.#joinAt
    );
  }

  /** Whether the dispatcher has not answered in time. */
  overdue(now: number, longWork: boolean): boolean {
    if (this.#awaitingSince === undefined) return false;
    const fallbackMs = longWork ? FALLBACK_LONG_WORK_MS : FALLBACK_MS;
    const limit = this.#state === "joining" ? JOIN_TIMEOUT_MS : fallbackMs;
    return now - this.#awaitingSince > limit;
  }

  reportDue(now: number, longWork: boolean): boolean {
    if (this.#state !== "attached") return false;
    const everyMs = longWork ? REPORT_EVERY_LONG_WORK_MS : REPORT_EVERY_MS;
    return this.#changed && now - this.#lastReport >= everyMs;
  }

  idle(now: number): boolean {
    return this.streaming && now - this.#lastUsed > LEAVE_AFTER_MS;
  }

  /** Sends everything that the dispatcher should know; joins if detached. */
  report(state: EntryState, now: number): SendEffect[] {
    if (this.#dispatcher === undefined) return [];
    if (this.#state === "detached") this.#state = "joining";
    this.#dropBuffer();
    this.#lastReport = now;
    this.#lastUsed = now;
    this.#changed = state.taken.length > 0 || state.wanted.length > 0;
    const sequence = this.#ask(now);
    const payload: DispatchReport = {
      service: this.#service,
      epoch: this.#epoch,
      sequence,
      seen: this.#seen,
      credits: [...this.#credits],
      ...state,
    };
    const to = this.#dispatcher;
    return [{ type: "send", to, kind: "dispatch_report", payload }];
  }

  want(wanted: Wanted): void {
    this.#wanted.push(wanted);
  }

  take(taken: Taken): void {
    this.#taken.push(taken);
  }

  release(released: Released): void {
    this.#released.push(released);
  }

  cancel(ticket: number): void {
    this.#cancelled.push(ticket);
  }

  /** Servers with a slot that may be taken without asking. */
  get credits(): readonly BackendServerId[] {
    return this.#credits;
  }

  /** Uses up a credit. */
  useCredit(server: BackendServerId): void {
    const index = this.#credits.indexOf(server);
    if (index >= 0) this.#credits.splice(index, 1);
  }

  /** Sends what has changed; `ping` asks for an answer. */
  flush(now: number, ping = false): SendEffect[] {
    const changes =
      this.#wanted.length +
      this.#taken.length +
      this.#released.length +
      this.#cancelled.length;
    if (!this.streaming || this.#dispatcher === undefined) {
      this.#dropBuffer();
      return [];
    }
    if (changes === 0 && !ping) return [];
    const asks = ping || this.#wanted.length > 0;
    const sequence = asks ? this.#ask(now) : this.#numbers.next();
    this.#changed = true;
    this.#lastUsed = now;
    const payload = {
      service: this.#service,
      epoch: this.#epoch,
      sequence,
      wanted: orNone(this.#wanted),
      taken: orNone(this.#taken),
      released: orNone(this.#released),
      cancelled: orNone(this.#cancelled),
      ping,
    };
    this.#dropBuffer();
    const to = this.#dispatcher;
    return [{ type: "send", to, kind: "dispatch_update", payload }];
  }

  pingDue(now: number, longWork: boolean): boolean {
    const afterMs = longWork ? PING_AFTER_LONG_WORK_MS : PING_AFTER_MS;
    return (
      this.#state === "attached" &&
      this.#awaitingSince === undefined &&
      now - this.#lastReceived >= afterMs
    );
  }

  /** Takes in an answer; false if it is old, foreign or a duplicate. */
  accept(from: HostId, grant: DispatchGrant, now: number): boolean {
    if (from !== this.#dispatcher || grant.epoch !== this.#epoch) return false;
    if (grant.sequence <= this.#seen) return false;
    this.#seen = grant.sequence;
    if (this.#state === "detached") return false;
    this.#state = "attached";
    this.#lastReceived = now;
    const answered = grant.acknowledged >= this.#asked;
    this.#awaitingSince = answered ? undefined : now;
    for (const server of grant.revoked) this.useCredit(server);
    this.#credits.push(...grant.credits);
    this.#heads = grant.waitedMs;
    this.#patientDue = grant.patientDue;
    this.#avoid = grant.avoid;
    return true;
  }

  /**
   * Whether a call that has waited so long may use the slot that a finished
   * call leaves, because the dispatcher would give it the next one anyway.
   */
  mayReuse(
    server: BackendServerId,
    call: { priority: Priority; waitedMs: number },
  ): boolean {
    if (this.#patientDue || this.#avoid.includes(server)) return false;
    const { urgent, patient } = this.#heads;
    if (call.priority === "patient" && urgent >= 0) return false;
    const first = call.priority === "urgent" ? urgent : patient;
    return call.waitedMs + REUSE_TOLERANCE_MS >= first;
  }

  #ask(now: number): number {
    this.#asked = this.#numbers.next();
    this.#awaitingSince ??= now;
    return this.#asked;
  }

  #clear(): void {
    this.#state = "detached";
    this.#awaitingSince = undefined;
    this.#credits = [];
    this.#dropBuffer();
  }

  /** Keeps empty lists, which most messages have, instead of new ones. */
  #dropBuffer(): void {
    if (this.#wanted.length > 0) this.#wanted = [];
    if (this.#taken.length > 0) this.#taken = [];
    if (this.#released.length > 0) this.#released = [];
    if (this.#cancelled.length > 0) this.#cancelled = [];
  }
}

const NONE: readonly never[] = [];

/** The list, unless it is empty and will be filled after it was sent. */
function orNone<T>(list: readonly T[]): readonly T[] {
  return list.length > 0 ? list : NONE;
}
