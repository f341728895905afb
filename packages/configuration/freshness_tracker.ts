import type { HostId, View } from "#model";

/** How long a confirmation of the configuration is valid, in milliseconds. */
export const CONFIRMED_FOR_MS = 3_000;

/**
 * Queries without a response that are kept, so that memory is bounded. A late response
 * is used, as it confirms from the time of its query.
 */
const MAX_PENDING_QUERIES = 32;

/** When control was asked, by both clocks of the process, in milliseconds. */
export interface QueryTime {
  /** `Clock.now()`. */
  readonly steady: number;
  /** `Clock.wallTime()`. */
  readonly wall: number;
}

/** One round of asking the entries of the view for their versions. */
interface PeerRound {
  readonly round: number;
  readonly version: number;
  readonly askedAt: number;
  readonly members: ReadonlySet<string>;
  readonly agreeing: Set<string>;
}

/**
 * Decides whether an entry may serve with its configuration: control, or a
 * majority of the view's entries, must have confirmed it within the last 3 s.
 *
 * A confirmation is valid from the time of the query, not of the response, so a
 * slow response never extends it.
 */
export class FreshnessTracker {
  #pendingQueries = new Map<number, QueryTime>();
  #sequence = 0;
  #peerRound: PeerRound | undefined;
  #confirmedAt = Number.NEGATIVE_INFINITY;
  #controlConfirmedAt: QueryTime | undefined;
  readonly #confirmedForMs: number;

  /**
   * Sequence numbers begin at `incarnation`, so that no answer to a former process
   * of this entry counts.
   */
  constructor(confirmedForMs = CONFIRMED_FOR_MS, incarnation = 0) {
    this.#confirmedForMs = confirmedForMs;
    this.#sequence = incarnation;
  }

  /** Starts a query to control; returns its sequence number. */
  startControlQuery(now: QueryTime): number {
    this.#sequence += 1;
    this.#pendingQueries.set(this.#sequence, now);
    for (const sequence of this.#pendingQueries.keys()) {
      if (this.#pendingQueries.size <= MAX_PENDING_QUERIES) break;
      this.#pendingQueries.delete(sequence);
    }
    return this.#sequence;
  }

  /** Handles control's response with the version that is in force there. */
  handleControlResponse(response: {
    sequence: number;
    version: number;
    ownVersion: number;
  }): void {
    const askedAt = this.#pendingQueries.get(response.sequence);
    this.#pendingQueries.delete(response.sequence);
    if (askedAt === undefined || response.ownVersion < response.version) return;
    const former = this.#controlConfirmedAt;
    if (!former || askedAt.steady > former.steady)
      this.#controlConfirmedAt = askedAt;
    this.#confirm(askedAt.steady);
  }

  /**
   * Time of the last question to control that was answered with the version in
   * force here; undefined without one. Other entries' answers do not count.
   */
  get controlConfirmedAt(): QueryTime | undefined {
    return this.#controlConfirmedAt;
  }

  /** Starts a query to the view's entries; returns its round number. */
  startPeerQuery(options: {
    view: View;
    version: number;
    self: { id: HostId; incarnation: number };
    now: number;
  }): number {
    const { view, version, self, now } = options;
    const round = (this.#peerRound?.round ?? 0) + 1;
    this.#peerRound = {
      round,
      version,
      askedAt: now,
      members: new Set(view.entries.map(memberKey)),
      agreeing: new Set(),
    };
    this.#recordAgreement(memberKey(self));
    return round;
  }

  /** Handles a peer's response with the version that is in force there. */
  handlePeerResponse(response: {
    peer: { id: HostId; incarnation: number };
    round: number;
    version: number;
  }): void {
    const currentRound = this.#peerRound;
    if (currentRound?.round !== response.round) return;
    // A peer with a lower version still agrees: it has not helped a higher one
    // to be accepted. Only a higher version counts against this entry's own.
    if (response.version > currentRound.version) {
      this.#peerRound = {
        ...currentRound,
        members: new Set(),
        agreeing: new Set(),
      };
      return;
    }
    this.#recordAgreement(memberKey(response.peer));
  }

  /** Whether the entry may accept new calls. */
  isFresh(now: number): boolean {
    return now - this.#confirmedAt <= this.#confirmedForMs;
  }

  /** Time since the query of the last confirmation, in milliseconds. */
  confirmationAgeMs(now: number): number {
    return now - this.#confirmedAt;
  }

  #recordAgreement(member: string): void {
    const round = this.#peerRound;
    if (!round?.members.has(member)) return;
    round.agreeing.add(member);
    if (round.agreeing.size * 2 > round.members.size) {
      this.#confirm(round.askedAt);
    }
  }

  #confirm(askedAt: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt, askedAt);
  }
}

/** Identifies a process; a restarted one is another member. */
export function memberKey(member: {
  readonly id: HostId;
  readonly incarnation: number;
}): string {
  return `${member.id}#${member.incarnation}`;
}
