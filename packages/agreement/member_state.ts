import type { HostId, Randomness } from "#model";
import type { Effect, Founding, Notice, Write } from "./effects.ts";
import { type Entry, EntryLog, type Snapshot } from "./entry_log.ts";
import { EMPTY_MEMBERSHIP, hostOf, type MemberKey } from "./members.ts";
import type {
  AgreementKind,
  AgreementMessages,
  FolderPhase,
  Header,
  Outgoing,
} from "./messages.ts";
import type { StoredState } from "./ports.ts";

/** A leader without a majority for this long steps down. */
export const ELECTION_TIMEOUT_MS = 1_000;
/** Three heartbeats fit into an election timeout, so two may be lost. */
export const HEARTBEAT_MS = 300;
/** Bytes of entries or of a snapshot in one message; a frame holds 1 MiB. */
export const MAX_BATCH_BYTES = 256 * 1024;
/** Leaves room for the frame around a single entry. */
export const MAX_COMMAND_BYTES = 768 * 1024;

/** Limits of the core that tests make smaller. */
export interface AgreementLimits {
  /** Entries applied since the last snapshot that ask for the next one. */
  readonly snapshotEveryEntries: number;
  readonly snapshotEveryBytes: number;
  /** Entries kept behind a snapshot for followers that are a little late. */
  readonly keptEntries: number;
  readonly keptBytes: number;
  readonly chunkBytes: number;
  /** How long a request may wait for a leader. */
  readonly noQuorumAfterMs: number;
  /** How long a request that was handed over may wait for its result. */
  readonly unknownAfterMs: number;
}

export const DEFAULT_LIMITS: AgreementLimits = {
  snapshotEveryEntries: 10_000,
  snapshotEveryBytes: 4 * 1024 * 1024,
  keptEntries: 1_000,
  keptBytes: 1024 * 1024,
  chunkBytes: MAX_BATCH_BYTES,
  noQuorumAfterMs: 2_000,
  unknownAfterMs: 5_000,
};

/** The state that all roles of a member share, and its pending effects. */
export class MemberState {
  readonly self: MemberKey;
  readonly host: HostId;
  readonly randomness: Randomness;
  readonly limits: AgreementLimits;
  readonly log: EntryLog;
  founding: Founding | undefined;
  term: number;
  vote: MemberKey | undefined;
  snapshot: Snapshot | undefined;
  commit: number;
  applied: number;
  /** Index up to which the log is synced here. */
  persisted: number;
  leader: MemberKey | undefined;
  #writes: Write[] = [];
  #effects: Effect[] = [];

  constructor(options: {
    host: HostId;
    stored: StoredState;
    randomness: Randomness;
    limits: AgreementLimits;
  }) {
    const { host, stored } = options;
    this.host = host;
    this.self = `${host}/${stored.identity}`;
    this.randomness = options.randomness;
    this.limits = options.limits;
    this.founding = stored.founding;
    this.term = stored.term;
    this.vote = stored.vote;
    this.snapshot = stored.snapshot;
    const voters = stored.founding?.members ?? [];
    this.log = new EntryLog(
      stored.snapshot ?? { membership: { ...EMPTY_MEMBERSHIP, voters } },
    );
    for (const entry of stored.entries) this.log.append(entry);
    this.commit = this.log.baseIndex;
    this.applied = 0;
    this.persisted = this.log.lastIndex;
    if (stored.snapshot) {
      this.applied = stored.snapshot.index;
      this.#effects.push({ type: "restore", snapshot: stored.snapshot });
    }
  }

  get phase(): FolderPhase {
    if (!this.founding) return "empty";
    return this.founding.formed ? "formed" : "founding";
  }

  get isVoter(): boolean {
    return this.log.membership.voters.includes(this.self);
  }

  /**
   * Whether this member may run for leader. One that is being removed still
   * may until that is committed, because the others may need its entries.
   */
  get mayLead(): boolean {
    if (this.isVoter) return true;
    const { membershipIndex } = this.log;
    if (membershipIndex <= this.commit) return false;
    const former = this.log.membershipAt(membershipIndex - 1);
    return former.voters.includes(this.self);
  }

  /** The members of the newest membership but this one. */
  others(): MemberKey[] {
    const { voters, learners } = this.log.membership;
    return [...voters, ...learners].filter((member) => member !== this.self);
  }

  persist(write: Write): void {
    const last = this.#writes.at(-1);
    if (write.type === "vote" && last?.type === "vote") {
      this.#writes[this.#writes.length - 1] = write;
    } else if (
      write.type === "entries" &&
      last?.type === "entries" &&
      last.entries.at(-1)?.index === (write.entries[0]?.index ?? 0) - 1
    ) {
      const entries = [...last.entries, ...write.entries];
      this.#writes[this.#writes.length - 1] = { type: "entries", entries };
    } else {
      this.#writes.push(write);
    }
  }

  persistVote(term: number, vote: MemberKey | undefined): void {
    this.term = term;
    this.vote = vote;
    this.persist({ type: "vote", term, vote });
  }

  persistFounding(founding: Founding): void {
    this.founding = founding;
    this.persist({ type: "founding", founding });
    if (founding.formed) {
      this.notice({ type: "cluster_formed", cluster: founding.cluster });
    }
  }

  appendEntries(entries: readonly Entry[]): void {
    const first = entries[0];
    if (!first) return;
    if (first.index <= this.log.lastIndex) {
      this.log.truncate(first.index);
      this.persisted = Math.min(this.persisted, first.index - 1);
    }
    for (const entry of entries) this.log.append(entry);
    this.persist({ type: "entries", entries });
  }

  header(to: MemberKey): Header {
    const cluster = this.founding?.cluster ?? "";
    return { cluster, from: this.self, to, term: this.term };
  }

  /** Sends to a member of the same cluster. */
  send<K extends AgreementKind>(
    to: MemberKey,
    kind: K,
    body: Omit<AgreementMessages[K], keyof Header>,
  ): void {
    const payload = { ...this.header(to), ...body };
    this.sendTo(hostOf(to), kind, payload as unknown as AgreementMessages[K]);
  }

  sendTo<K extends AgreementKind>(
    to: HostId,
    kind: K,
    payload: AgreementMessages[K],
  ): void {
    const outgoing = { to, kind, payload } as unknown as Outgoing;
    this.#effects.push({ type: "send", ...outgoing });
  }

  notice(notice: Notice): void {
    this.#effects.push({ type: "notice", notice });
  }

  effect(effect: Effect): void {
    this.#effects.push(effect);
  }

  /** Hands over the pending effects, writes first. */
  take(): Effect[] {
    const writes = this.#writes.map(
      (write): Effect => ({ type: "persist", write }),
    );
    const effects = [...writes, ...this.#effects];
    this.#writes = [];
    this.#effects = [];
    return effects;
  }
}
