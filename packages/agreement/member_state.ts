import type { HostId, Randomness } from "#model";
import type {
  ClusterBinding,
  Effect,
  Notice,
  StorageWrite,
} from "./effects.ts";
import { EntryLog, type LogEntry, type Snapshot } from "./entry_log.ts";
import { EMPTY_MEMBERSHIP, hostOf, type MemberKey } from "./members.ts";
import type {
  BootstrapPhase,
  ConsensusMessageKind,
  ConsensusMessages,
  MessageHeader,
  OutgoingMessage,
} from "./messages.ts";
import type { StoredState } from "./ports.ts";
import { ProcessingDelay } from "./processing_delay.ts";

/**
 * A leader that no majority replies to for this long steps down; a follower
 * waits one to two of these for its leader before it starts an election.
 */
export const ELECTION_TIMEOUT_MS = 1_000;
/**
 * Three intervals fit into an election timeout, so two heartbeats may be lost.
 */
export const HEARTBEAT_MS = 300;
/**
 * Bytes of entries or of a snapshot in one message; a frame's limit is 1 MiB.
 */
export const MAX_BATCH_BYTES = 256 * 1024;
/** Longest command; a frame of 1 MiB must hold it together with its entry. */
export const MAX_COMMAND_BYTES = 768 * 1024;

/** A request, its reply and what is sent next each wait for the member that is late. */
const DELAY_FACTOR = 3;

/** Limits of the consensus core; tests use smaller ones than the defaults. */
export interface ConsensusLimits {
  /** Entries applied since the last snapshot after which the next is taken. */
  readonly snapshotEveryEntries: number;
  /** The same, in bytes of commands. */
  readonly snapshotEveryBytes: number;
  /**
   * Entries covered by a snapshot that stay in memory, so that followers that
   * are a little behind do not need the snapshot.
   */
  readonly keptEntries: number;
  readonly keptBytes: number;
  /** Bytes of a snapshot in one message. */
  readonly chunkBytes: number;
  /** How long a proposal may wait for a leader, and a read for its result. */
  readonly noQuorumAfterMs: number;
  /** How long a proposal that a leader was given may wait for its result. */
  readonly unknownAfterMs: number;
}

export const DEFAULT_CONSENSUS_LIMITS: ConsensusLimits = {
  snapshotEveryEntries: 10_000,
  snapshotEveryBytes: 4 * 1024 * 1024,
  keptEntries: 1_000,
  keptBytes: 1024 * 1024,
  chunkBytes: MAX_BATCH_BYTES,
  noQuorumAfterMs: 2_000,
  unknownAfterMs: 5_000,
};

/** The Raft state that all roles of a member share, and the pending effects. */
export class MemberState {
  readonly self: MemberKey;
  readonly host: HostId;
  readonly randomness: Randomness;
  readonly limits: ConsensusLimits;
  readonly log: EntryLog;
  readonly delay = new ProcessingDelay();
  founding: ClusterBinding | undefined;
  term: number;
  vote: MemberKey | undefined;
  snapshot: Snapshot | undefined;
  /** Highest index that is known to be committed. */
  commit: number;
  /** Highest index that was passed to the state machine. */
  applied: number;
  /** Index up to which this member's log is synced to disk. */
  persistedIndex: number;
  leader: MemberKey | undefined;
  #writes: StorageWrite[] = [];
  #effects: Effect[] = [];

  constructor(options: {
    host: HostId;
    stored: StoredState;
    randomness: Randomness;
    limits: ConsensusLimits;
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
    this.persistedIndex = this.log.lastIndex;
    if (stored.snapshot) {
      this.applied = stored.snapshot.index;
      this.#effects.push({ type: "restore", snapshot: stored.snapshot });
    }
  }

  /**
   * Time without a message after which a leader counts as lost, and a majority as lost
   * for a leader: longer while this member is late itself.
   */
  electionTimeoutMs(now: number): number {
    return ELECTION_TIMEOUT_MS + DELAY_FACTOR * this.delay.current(now);
  }

  get phase(): BootstrapPhase {
    if (!this.founding) return "empty";
    return this.founding.formed ? "formed" : "founding";
  }

  get isVoter(): boolean {
    return this.log.membership.voters.includes(this.self);
  }

  /**
   * Whether this member may become leader. A voter that is being removed still
   * may until its removal is committed, because the others may need its
   * entries.
   */
  get canBecomeLeader(): boolean {
    if (this.isVoter) return true;
    const { membershipIndex } = this.log;
    if (membershipIndex <= this.commit) return false;
    const former = this.log.membershipAt(membershipIndex - 1);
    return former.voters.includes(this.self);
  }

  /** All voters and learners of the newest membership except this member. */
  otherMembers(): MemberKey[] {
    const { voters, learners } = this.log.membership;
    return [...voters, ...learners].filter((member) => member !== this.self);
  }

  persist(write: StorageWrite): void {
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

  persistFounding(founding: ClusterBinding): void {
    this.founding = founding;
    this.persist({ type: "founding", founding });
    if (founding.formed) {
      this.emitNotice({ type: "cluster_formed", cluster: founding.cluster });
    }
  }

  appendEntries(entries: readonly LogEntry[]): void {
    const first = entries[0];
    if (!first) return;
    if (first.index <= this.log.lastIndex) {
      this.log.truncate(first.index);
      this.persistedIndex = Math.min(this.persistedIndex, first.index - 1);
    }
    for (const entry of entries) this.log.append(entry);
    this.persist({ type: "entries", entries });
  }

  header(to: MemberKey): MessageHeader {
    const cluster = this.founding?.cluster ?? "";
    return { cluster, from: this.self, to, term: this.term };
  }

  /** Sends a message with a header to a member of the same cluster. */
  send<K extends ConsensusMessageKind>(
    to: MemberKey,
    kind: K,
    body: Omit<ConsensusMessages[K], keyof MessageHeader>,
  ): void {
    const payload = { ...this.header(to), ...body };
    this.sendToHost(
      hostOf(to),
      kind,
      payload as unknown as ConsensusMessages[K],
    );
  }

  sendToHost<K extends ConsensusMessageKind>(
    to: HostId,
    kind: K,
    payload: ConsensusMessages[K],
  ): void {
    const outgoing = { to, kind, payload } as unknown as OutgoingMessage;
    this.#effects.push({ type: "send", ...outgoing });
  }

  emitNotice(notice: Notice): void {
    this.#effects.push({ type: "notice", notice });
  }

  emit(effect: Effect): void {
    this.#effects.push(effect);
  }

  /** Returns the pending effects, writes first, and clears them. */
  takeEffects(): Effect[] {
    const writes = this.#writes.map(
      (write): Effect => ({ type: "persist", write }),
    );
    const effects = [...writes, ...this.#effects];
    this.#writes = [];
    this.#effects = [];
    return effects;
  }
}
