import type {
  BackendServerId,
  DataCentre,
  Entry,
  HostId,
  Priority,
} from "#model";
import type { RankedCall } from "#overload";
import type { DispatchGrant, RateLimitChanges } from "./messages.ts";
import type { SequenceNumbers } from "./sequence_numbers.ts";
import type { ServerSlots } from "./server_slots.ts";

/** Time constant of the moving average of an entry's call rate. */
const CALL_RATE_TIME_CONSTANT_MS = 200;

/** Time for which an entry keeps an idle connection at least. */
const CONNECTION_IDLE_MS = 4_000;
/** Servers to which an entry's connections are remembered. */
const MAX_CONNECTED_SERVERS = 8;

/** A call of an entry that waits at the dispatcher for a slot. */
export interface WaitingCall extends RankedCall {
  readonly ticket: number;
  readonly priority: Priority;
  readonly class: string;
  readonly exclude: readonly BackendServerId[] | undefined;
  readonly entry: DispatchEntry;
  /** Start of the wait, in milliseconds of the dispatcher's clock. */
  readonly since: number;
}

/** A slot in use by a call of an entry. */
export interface SlotAllocation {
  readonly server: ServerSlots;
  readonly class: string;
  /** Time of the assignment, in milliseconds of the dispatcher's clock. */
  readonly assignedAt: number;
  /**
   * Calls that ran on the server when this one was assigned, itself included.
   */
  readonly runningAtStart: number;
  /**
   * Calls that had to finish on the server first, as a share of its slots;
   * undefined if the call started without this dispatcher's knowledge.
   */
  readonly queueRatio: number | undefined;
  /** Time of the last report that listed the call as running. */
  confirmedAt: number;
  /**
   * Lower bound of the sequence number of the message with the grant; 0 if the
   * entry took the slot without one.
   */
  readonly grantSequence: number;
  /** Whether the call was granted within the server's rate limit. */
  readonly paced?: boolean;
}

type Outbox = {
  -readonly [K in "grants" | "rejects" | "credits" | "revoked"]: [
    ...DispatchGrant[K],
  ];
};

/**
 * A dispatcher's state of one entry: its slots, waiting calls and credits, and
 * the messages to send to it.
 */
export class DispatchEntry {
  readonly id: HostId;
  readonly incarnation: number;
  readonly dataCentre: DataCentre;
  /** Sequence number of the newest message from the entry. */
  lastSequence = 0;
  lastHeard: number;
  readonly allocations = new Map<number, SlotAllocation>();
  readonly waitingCalls = new Map<number, WaitingCall>();
  /** Servers of the credits that the entry holds, as far as is known. */
  readonly credits: ServerSlots[] = [];
  outbox: Outbox = emptyOutbox();
  answerDue = false;
  /** Version of the rate limits that the entry knows; undefined before it joins. */
  rateLimitVersion: number | undefined;
  /**
   * Servers of the entry's last calls, the latest one last, with the time of
   * the call.
   */
  readonly #connections = new Map<ServerSlots, number>();
  /** Servers that want no calls of this entry, until a time. */
  readonly #backOffs = new Map<ServerSlots, number>();
  #rate = 0;
  #rateAt: number;

  constructor(member: Entry, now: number) {
    this.id = member.id;
    this.incarnation = member.incarnation;
    this.dataCentre = member.dataCentre;
    this.lastHeard = now;
    this.#rateAt = now;
  }

  /** Records that a server wants no calls of this entry until a time. */
  recordBackOff(server: ServerSlots, until: number): void {
    this.#backOffs.set(server, until);
  }

  /** Ids of the servers that want no calls of this entry now. */
  serversBackingOff(now: number): BackendServerId[] {
    if (this.#backOffs.size === 0) return [];
    for (const [server, until] of this.#backOffs) {
      if (until <= now) this.#backOffs.delete(server);
    }
    return [...this.#backOffs.keys()].map(({ record }) => record.id);
  }

  /** Counts a call in the call rate. */
  recordCall(now: number): void {
    this.#rate = this.callsPerMs(now) + 1 / CALL_RATE_TIME_CONSTANT_MS;
    this.#rateAt = now;
  }

  callsPerMs(now: number): number {
    return (
      this.#rate * Math.exp((this.#rateAt - now) / CALL_RATE_TIME_CONSTANT_MS)
    );
  }

  /**
   * Records that the entry has a connection to a server, since a call ran
   * there.
   */
  recordConnection(server: ServerSlots, now: number): void {
    this.#connections.delete(server);
    this.#connections.set(server, now);
    if (this.#connections.size <= MAX_CONNECTED_SERVERS) return;
    const [oldest] = this.#connections.keys();
    if (oldest) this.#connections.delete(oldest);
  }

  /** Servers to which the entry probably has an idle connection. */
  connectedServers(now: number): ServerSlots[] {
    for (const [server, at] of this.#connections) {
      if (now - at < CONNECTION_IDLE_MS) break;
      this.#connections.delete(server);
    }
    return [...this.#connections.keys()];
  }

  /** Removes a credit; false if the entry held none for the server. */
  dropCredit(server: ServerSlots): boolean {
    const index = this.credits.indexOf(server);
    if (index < 0) return false;
    this.credits.splice(index, 1);
    return true;
  }

  /**
   * Empties the outbox into a message; undefined if there is nothing to send.
   */
  takeMessage(
    header: Pick<
      DispatchGrant,
      "service" | "epoch" | "waitedMs" | "patientDue" | "avoid"
    >,
    sequenceNumbers: SequenceNumbers,
    rateLimits: RateLimitChanges | undefined,
  ): DispatchGrant | undefined {
    const { grants, rejects, credits, revoked } = this.outbox;
    const items =
      grants.length + rejects.length + credits.length + revoked.length;
    if (items === 0 && !this.answerDue) return undefined;
    const { outbox } = this;
    this.outbox = emptyOutbox();
    this.answerDue = false;
    const acknowledged = this.lastSequence;
    this.rateLimitVersion = rateLimits?.version ?? this.rateLimitVersion;
    return {
      ...header,
      sequence: sequenceNumbers.next(),
      acknowledged,
      ...outbox,
      ...(rateLimits && { rateLimits }),
    };
  }
}

function emptyOutbox(): Outbox {
  return { grants: [], rejects: [], credits: [], revoked: [] };
}
