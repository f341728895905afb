import type {
  BackendServerId,
  CallFaultCode,
  Priority,
  RefusalReason,
} from "#model";
import type { CallResultKind, ServerStatement } from "./effects.ts";
import type { RateNotice } from "./named_rate.ts";

/**
 * Messages between an entry and the dispatchers of its services. The `sequence`
 * of a sender's messages about a service grows with each message, so that
 * duplicates are recognised. A `ticket` identifies a request of an entry for a
 * slot.
 */
export interface DispatchMessages {
  readonly dispatch_report: DispatchReport;
  readonly dispatch_update: DispatchUpdate;
  readonly dispatch_grant: DispatchGrant;
}

/** A message with its kind. */
export type DispatchMessage = {
  [K in keyof DispatchMessages]: {
    readonly kind: K;
    readonly payload: DispatchMessages[K];
  };
}[keyof DispatchMessages];

interface DispatchHeader {
  readonly service: string;
  /** Epoch of the sender's view; messages with another epoch are dropped. */
  readonly epoch: number;
  readonly sequence: number;
}

/** A request for a slot for a waiting call. */
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
  /** Urgency of the call, if its route or tenant has one; 0 is the highest. */
  readonly rank?: number | undefined;
  /** Short hash of the tenant's name. */
  readonly tenant?: string | undefined;
}

/**
 * A slot that the entry took without asking, by a credit or by its own choice.
 */
export interface TakenSlot {
  readonly ticket: number;
  readonly class: string;
  readonly server: BackendServerId;
  /** Time since the call was assigned, in milliseconds. */
  readonly ageMs: number;
  /** The ticket under which the call waited before. */
  readonly instead?: number | undefined;
}

/** A slot that the entry no longer uses. */
export interface ReleasedSlot extends ServerStatement {
  readonly ticket: number;
  /** `unused`: the entry never assigned the slot to a call. */
  readonly kind: CallResultKind | "unused";
  readonly serviceMs: number;
  readonly leaving?: boolean | undefined;
  /**
   * Slowdown that the server reports: service time relative to its usual one.
   */
  readonly slowdown?: number | undefined;
}

/** A server's rate limit as one entry knows it. */
export interface ServerRateLimit extends RateNotice {
  readonly server: BackendServerId;
  /** The incarnation that named the limit. */
  readonly incarnation: number;
}

/** What an entry does not know yet of the rate limits of a service's servers. */
export interface RateLimitChanges {
  /** Version that the entry has with these changes. */
  readonly version: number;
  /** Whether all limits are listed, so that no other server has one. */
  readonly isComplete: boolean;
  readonly limited: readonly ServerRateLimit[];
  /** Servers that have no limit any more. */
  readonly unlimited: readonly BackendServerId[];
}

/** The whole state of an entry, which replaces what the dispatcher knew. */
export interface DispatchReport extends DispatchHeader {
  /**
   * Sequence number of the newest grant message that the entry has received.
   */
  readonly seen: number;
  readonly taken: readonly TakenSlot[];
  readonly wanted: readonly SlotRequest[];
  readonly credits: readonly BackendServerId[];
  /** Version of the dispatcher's rate limits that the entry was told last. */
  readonly rateLimitVersion?: number;
  /**
   * Rate limits that the entry knows of and the dispatcher has not told it: all
   * without a version; absent if there are none.
   */
  readonly rateLimits?: readonly ServerRateLimit[];
}

/** Changes since the entry's last message. */
export interface DispatchUpdate extends DispatchHeader {
  readonly wanted: readonly SlotRequest[];
  readonly taken: readonly TakenSlot[];
  readonly released: readonly ReleasedSlot[];
  /** Tickets that are no longer wanted. */
  readonly cancelled: readonly number[];
  /** Rate limits that the dispatcher seems not to know. */
  readonly rateLimits?: readonly ServerRateLimit[];
  /** Asks for an answer even if nothing in the update requires one. */
  readonly ping: boolean;
}

/** The dispatcher's answer to an entry. */
export interface DispatchGrant extends DispatchHeader {
  /**
   * Sequence number of the entry's newest message that the dispatcher has
   * received.
   */
  readonly acknowledged: number;
  readonly grants: readonly {
    readonly ticket: number;
    readonly server: BackendServerId;
    /**
     * The server is known to be slow and still the best choice; the entry must
     * not decline it.
     */
    readonly slowed?: boolean;
    /**
     * The server limits its rate, and this one request is within the limit, so
     * that the entry must not check the server before.
     */
    readonly paced?: boolean;
  }[];
  readonly rejects: readonly {
    readonly ticket: number;
    readonly code: CallFaultCode;
    readonly retryAfterMs: number;
    /** The reason for the rejection, for the log. */
    readonly detail?: string;
    /** Why a ranked call was refused, for the metrics. */
    readonly reason?: RefusalReason | undefined;
  }[];
  /** Slots that the entry may take without asking, until revoked. */
  readonly credits: readonly BackendServerId[];
  readonly revoked: readonly BackendServerId[];
  /**
   * Time that the first call of each priority has waited, in milliseconds; -1
   * if none waits.
   */
  readonly waitedMs: Readonly<Record<Priority, number>>;
  /**
   * Whether the next slot is due to a patient call, so that entries must not
   * reuse slots.
   */
  readonly patientDue: boolean;
  /** Servers whose slots the entry must not reuse without asking. */
  readonly avoid: readonly BackendServerId[];
  /**
   * Changes of rate limits; absent if the entry knows them. An entry sends to
   * servers with a limit only with a paced grant.
   */
  readonly rateLimits?: RateLimitChanges;
}
