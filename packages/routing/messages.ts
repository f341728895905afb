import type { BackendServerId, CallFaultCode, Priority } from "#model";
import type { CallResultKind } from "./effects.ts";

/**
 * Messages between an entry and the dispatchers of its services. Numbers named
 * `sequence` grow with each message of a sender about a service, so that
 * duplicates are recognised. A ticket numbers an entry's requests for a slot.
 */
export interface DispatchMessages {
  readonly dispatch_report: DispatchReport;
  readonly dispatch_update: DispatchUpdate;
  readonly dispatch_grant: DispatchGrant;
}

/** One of the messages, with its kind. */
export type DispatchMessage = {
  [K in keyof DispatchMessages]: {
    readonly kind: K;
    readonly payload: DispatchMessages[K];
  };
}[keyof DispatchMessages];

interface DispatchHeader {
  readonly service: string;
  /** Epoch of the sender's view; another one's messages are dropped. */
  readonly epoch: number;
  readonly sequence: number;
}

/** A call that waits for a slot. */
export interface SlotRequest {
  readonly ticket: number;
  readonly priority: Priority;
  readonly class: string;
  /** Time left until the call must start, in milliseconds. */
  readonly remainingMs: number;
  /** Time left until the caller gives up, in milliseconds. */
  readonly answerMs?: number | undefined;
  /** Time left to meet the latency objective, in milliseconds. */
  readonly targetMs?: number | undefined;
  /** Time that the call has waited, in milliseconds. */
  readonly waitedMs: number;
  readonly exclude?: readonly BackendServerId[] | undefined;
}

/** A slot that the entry took without asking, by a credit or locally. */
export interface TakenSlot {
  readonly ticket: number;
  readonly class: string;
  readonly server: BackendServerId;
  /** Time since the call was assigned, in milliseconds. */
  readonly ageMs: number;
  /** The ticket under which the call waited. */
  readonly instead?: number | undefined;
}

/** A slot that the entry no longer uses. */
export interface ReleasedSlot {
  readonly ticket: number;
  /** `unused`: the entry never gave it to a call. */
  readonly kind: CallResultKind | "unused";
  readonly serviceMs: number;
  readonly leaving?: boolean | undefined;
  /** The server's own figure of how long work takes, relative to the usual. */
  readonly slowdown?: number | undefined;
}

/** The whole state of an entry; replaces what the dispatcher knew of it. */
export interface DispatchReport extends DispatchHeader {
  /** The newest grant message that the entry has seen. */
  readonly seen: number;
  readonly taken: readonly TakenSlot[];
  readonly wanted: readonly SlotRequest[];
  readonly credits: readonly BackendServerId[];
}

/** Changes since the entry's last message. */
export interface DispatchUpdate extends DispatchHeader {
  readonly wanted: readonly SlotRequest[];
  readonly taken: readonly TakenSlot[];
  readonly released: readonly ReleasedSlot[];
  /** Tickets that are no longer wanted. */
  readonly cancelled: readonly number[];
  /** Asks for an answer even if nothing else does. */
  readonly ping: boolean;
}

/** The dispatcher's answer. */
export interface DispatchGrant extends DispatchHeader {
  /** The newest message of the entry that the dispatcher has seen. */
  readonly acknowledged: number;
  readonly grants: readonly {
    readonly ticket: number;
    readonly server: BackendServerId;
    /** Known to be slow, and still the best choice; not to be declined. */
    readonly slowed?: boolean;
  }[];
  readonly rejects: readonly {
    readonly ticket: number;
    readonly code: CallFaultCode;
    readonly retryAfterMs: number;
    /** What decided it, for the log. */
    readonly detail?: string;
  }[];
  /** Slots that the entry may take without asking, until revoked. */
  readonly credits: readonly BackendServerId[];
  readonly revoked: readonly BackendServerId[];
  /** Time that the first call of each class has waited; -1 if none waits. */
  readonly waitedMs: Readonly<Record<Priority, number>>;
  /** A patient call is due the next slot, so entries must not use it again. */
  readonly patientDue: boolean;
  /** Servers whose slots the entry must not use again by itself. */
  readonly avoid: readonly BackendServerId[];
}
