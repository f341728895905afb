import type { Waiting } from "#admission";
import type {
  BackendServerId,
  DataCentre,
  Entry,
  HostId,
  Priority,
} from "#model";
import type { DispatchGrant } from "./messages.ts";
import type { Numbers } from "./numbers.ts";
import type { ServerSlots } from "./slots.ts";

/** Time constant of an entry's call rate, in milliseconds. */
const RATE_MS = 200;

/** Time for which an entry keeps an idle connection at least, in milliseconds. */
const CONNECTION_KEPT_MS = 4_000;
/** Servers to which connections are remembered. */
const MAX_CONNECTED = 8;

/** A call of an entry that waits at the dispatcher. */
export interface Want extends Waiting {
  readonly ticket: number;
  readonly priority: Priority;
  readonly class: string;
  readonly exclude: readonly BackendServerId[] | undefined;
  readonly entry: DispatchEntry;
  /** Since when it waits, in milliseconds of the dispatcher's clock. */
  readonly since: number;
}

/** A slot in use by a call of an entry. */
export interface Grant {
  readonly server: ServerSlots;
  readonly class: string;
  /** Assignment, in milliseconds of the dispatcher's clock. */
  readonly at: number;
  /** Calls that ran there when it was assigned, itself included. */
  readonly running: number;
  /**
   * Calls that had to finish there first, as a share of its slots; undefined
   * if the call started without this dispatcher's knowledge.
   */
  readonly crowding: number | undefined;
  /** Time of the last report that listed the call as running. */
  confirmedAt: number;
  /** No later than the message that carried it; 0 if the entry took it. */
  readonly sequence: number;
}

type Draft = {
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
  received = 0;
  lastHeard: number;
  readonly grants = new Map<number, Grant>();
  readonly wants = new Map<number, Want>();
  /** Credits that the entry holds, as far as is known. */
  readonly credits: ServerSlots[] = [];
  draft: Draft = emptyDraft();
  answerDue = false;
  /** Servers of the entry's last calls, the latest at the end, by time. */
  readonly #connected = new Map<ServerSlots, number>();
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
  countCall(now: number): void {
    this.#rate = this.callsPerMs(now) + 1 / RATE_MS;
    this.#rateAt = now;
  }

  callsPerMs(now: number): number {
    return this.#rate * Math.exp((this.#rateAt - now) / RATE_MS);
  }

  /** A call of the entry ran on a server, so that it holds a connection. */
  noteConnection(server: ServerSlots, now: number): void {
    this.#connected.delete(server);
    this.#connected.set(server, now);
    if (this.#connected.size <= MAX_CONNECTED) return;
    const [oldest] = this.#connected.keys();
    if (oldest) this.#connected.delete(oldest);
  }

  /** Servers to which the entry is likely to hold an idle connection. */
  connected(now: number): ServerSlots[] {
    for (const [server, at] of this.#connected) {
      if (now - at < CONNECTION_KEPT_MS) break;
      this.#connected.delete(server);
    }
    return [...this.#connected.keys()];
  }

  /** Forgets a credit; false if the entry held none for the server. */
  dropCredit(server: ServerSlots): boolean {
    const index = this.credits.indexOf(server);
    if (index < 0) return false;
    this.credits.splice(index, 1);
    return true;
  }

  /** Empties the draft into a message, if there is anything to say. */
  takeDraft(
    header: Pick<
      DispatchGrant,
      "service" | "epoch" | "waitedMs" | "patientDue" | "avoid"
    >,
    numbers: Numbers,
  ): DispatchGrant | undefined {
    const { grants, rejects, credits, revoked } = this.draft;
    const items =
      grants.length + rejects.length + credits.length + revoked.length;
    if (items === 0 && !this.answerDue) return undefined;
    const { draft } = this;
    this.draft = emptyDraft();
    this.answerDue = false;
    const acknowledged = this.received;
    return { ...header, sequence: numbers.next(), acknowledged, ...draft };
  }
}

function emptyDraft(): Draft {
  return { grants: [], rejects: [], credits: [], revoked: [] };
}
