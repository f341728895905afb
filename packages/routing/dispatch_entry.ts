import type { QueuedCall } from "#admission";
import type {
  BackendServerId,
  DataCentre,
  Entry,
  HostId,
  Priority,
} from "#model";
import type { DispatchGrant } from "./messages.ts";
import type { SequenceNumbers } from "./sequence_numbers.ts";
import type { ServerSlots } from "./slots.ts";

/** Time constant of an entry's call rate, in milliseconds. */
const CALL_RATE_TIME_CONSTANT_MS = 200;

/** Time for which an entry keeps an idle connection at least, in milliseconds. */
const CONNECTION_IDLE_MS = 4_000;
/** Servers to which connections are remembered. */
const MAX_CONNECTED_SERVERS = 8;

/** A call of an entry that waits at the dispatcher. */
export interface WaitingCall extends QueuedCall {
  readonly ticket: number;
  readonly priority: Priority;
  readonly class: string;
  readonly exclude: readonly BackendServerId[] | undefined;
  readonly entry: DispatchEntry;
  /** Since when it waits, in milliseconds of the dispatcher's clock. */
  readonly since: number;
}

/** A slot in use by a call of an entry. */
export interface SlotAllocation {
  readonly server: ServerSlots;
  readonly class: string;
  /** Assignment, in milliseconds of the dispatcher's clock. */
  readonly assignedAt: number;
  /** Calls that ran there when it was assigned, itself included. */
  readonly runningAtStart: number;
  /**
   * Calls that had to finish there first, as a share of its slots; undefined
   * if the call started without this dispatcher's knowledge.
   */
  readonly queueRatio: number | undefined;
  /** Time of the last report that listed the call as running. */
  confirmedAt: number;
  /** No later than the message that carried it; 0 if the entry took it. */
  readonly grantSequence: number;
}

type Outbox = {
  -readonly [K in "grants" | "rejects" | "credits" | "revoked"]: [
    ...DispatchGrant[K],
  ];
};

/** What a dispatcher knows of one entry that uses it. */
export class DispatchEntry {
  readonly id: HostId;
  readonly incarnation: number;
  readonly dataCentre: DataCentre;
  /** The newest message of the entry. */
  lastSequence = 0;
  lastHeard: number;
  readonly allocations = new Map<number, SlotAllocation>();
  readonly waitingCalls = new Map<number, WaitingCall>();
  /** Credits that the entry holds, as far as is known. */
  readonly credits: ServerSlots[] = [];
  outbox: Outbox = emptyOutbox();
  answerDue = false;
  /** Servers of the entry's last calls, the latest at the end, by time. */
  readonly #connections = new Map<ServerSlots, number>();
  #rate = 0;
  #rateAt: number;

  constructor(member: Entry, now: number) {
    this.id = member.id;
    this.incarnation = member.incarnation;
    this.dataCentre = member.dataCentre;
    this.lastHeard = now;
    this.#rateAt = now;
  }

  /** Counts a call. */
  recordCall(now: number): void {
    this.#rate = this.callsPerMs(now) + 1 / CALL_RATE_TIME_CONSTANT_MS;
    this.#rateAt = now;
  }

  callsPerMs(now: number): number {
    return (
      this.#rate * Math.exp((this.#rateAt - now) / CALL_RATE_TIME_CONSTANT_MS)
    );
  }

  /** A call of the entry ran on a server, so that it holds a connection. */
  recordConnection(server: ServerSlots, now: number): void {
    this.#connections.delete(server);
    this.#connections.set(server, now);
    if (this.#connections.size <= MAX_CONNECTED_SERVERS) return;
    const [oldest] = this.#connections.keys();
    if (oldest) this.#connections.delete(oldest);
  }

  /** Servers to which the entry is likely to hold an idle connection. */
  connectedServers(now: number): ServerSlots[] {
    for (const [server, at] of this.#connections) {
      if (now - at < CONNECTION_IDLE_MS) break;
      this.#connections.delete(server);
    }
    return [...this.#connections.keys()];
  }

  /** Forgets a credit; false if the entry held none for the server. */
  dropCredit(server: ServerSlots): boolean {
    const index = this.credits.indexOf(server);
    if (index < 0) return false;
    this.credits.splice(index, 1);
    return true;
  }

  /** Empties the draft into a message, if there is anything to say. */
  takeMessage(
    header: Pick<
      DispatchGrant,
      "service" | "epoch" | "waitedMs" | "patientDue" | "avoid"
    >,
    sequenceNumbers: SequenceNumbers,
  ): DispatchGrant | undefined {
    const { grants, rejects, credits, revoked } = this.outbox;
    const items =
      grants.length + rejects.length + credits.length + revoked.length;
    if (items === 0 && !this.answerDue) return undefined;
    const { outbox } = this;
    this.outbox = emptyOutbox();
    this.answerDue = false;
    const acknowledged = this.lastSequence;
    return {
      ...header,
      sequence: sequenceNumbers.next(),
      acknowledged,
      ...outbox,
    };
  }
}

function emptyOutbox(): Outbox {
  return { grants: [], rejects: [], credits: [], revoked: [] };
}
