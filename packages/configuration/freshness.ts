import type { HostId, View } from "#model";

/** How long a confirmation of the configuration counts. */
export const CONFIRMED_FOR_MS = 3_000;

interface PeerRound {
  readonly round: number;
  readonly version: number;
  readonly askedAt: number;
  readonly members: ReadonlySet<string>;
  readonly agreeing: Set<string>;
}

/**
 * Decides whether an entry may serve with its configuration: control confirmed
 * it, or a majority of the view's entries did, within the last 3 seconds.
 *
 * Each confirmation counts from the moment at which it was asked for, so a slow
 * answer never stretches it.
 */
export class Freshness {
  #asked = new Map<number, number>();
  #sequence = 0;
  #round: PeerRound | undefined;
  #confirmedAt = Number.NEGATIVE_INFINITY;
  readonly #confirmedForMs: number;

  constructor(confirmedForMs = CONFIRMED_FOR_MS) {
    this.#confirmedForMs = confirmedForMs;
  }

  /** Starts a question to control; returns its sequence number. */
  ask(now: number): number {
    this.#sequence += 1;
    this.#asked.set(this.#sequence, now);
    for (const [sequence, askedAt] of this.#asked) {
      if (now - askedAt > CONFIRMED_FOR_MS) this.#asked.delete(sequence);
    }
    return this.#sequence;
  }

  /** Control answered with the version that is in force there. */
  answered(answer: {
    sequence: number;
    version: number;
    ownVersion: number;
  }): void {
    const askedAt = this.#asked.get(answer.sequence);
    this.#asked.delete(answer.sequence);
    if (askedAt === undefined || answer.ownVersion < answer.version) return;
    this.#confirm(askedAt);
  }

  /** Starts a question to the view's entries; returns its round number. */
  askPeers(options: {
    view: View;
    version: number;
    self: { id: HostId; incarnation: number };
    now: number;
  }): number {
    const { view, version, self, now } = options;
    const round = (this.#round?.round ?? 0) + 1;
    this.#round = {
      round,
      version,
      askedAt: now,
      members: new Set(view.entries.map(memberKey)),
      agreeing: new Set(),
    };
    this.#agree(memberKey(self));
    return round;
  }

  /** A peer answered with the version that it has in force. */
  peerAnswered(answer: {
    peer: { id: HostId; incarnation: number };
    round: number;
    version: number;
  }): void {
    const current = this.#round;
    if (current?.round !== answer.round) return;
    // A lower version cannot have been accepted with this peer's vote alone,
    // so only a higher one speaks against the entry's own.
    if (answer.version > current.version) {
      this.#round = { ...current, members: new Set(), agreeing: new Set() };
      return;
    }
    this.#agree(memberKey(answer.peer));
  }

  /** Whether new work may be taken. */
  fresh(now: number): boolean {
    return now - this.#confirmedAt <= this.#confirmedForMs;
  }

  /** Time since the last confirmation was asked for, in milliseconds. */
  age(now: number): number {
    return now - this.#confirmedAt;
  }

  #agree(member: string): void {
    const round = this.#round;
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

/** A process: a restarted one is another member. */
export function memberKey(member: {
  readonly id: HostId;
  readonly incarnation: number;
}): string {
  return `${member.id}#${member.incarnation}`;
}
