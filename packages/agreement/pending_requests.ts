import type { ChangeFault } from "./effects.ts";
import type { LogEntry } from "./entry_log.ts";
import type { MemberState } from "./member_state.ts";
import type { ProposalBody, ProposalRefusal } from "./messages.ts";

/** Time after which an unanswered read request is sent again. */
const READ_RETRY_MS = 500;
/** Wait before a proposal that could not be sent is tried again. */
const SEND_RETRY_MS = 100;

type Refusal = Pick<ProposalRefusal, "id" | "fault" | "proposedTerm">;

interface PendingProposal {
  readonly body: ProposalBody;
  readonly since: number;
  /** When it was passed to a leader; before that it can have no effect. */
  sentToLeaderAt: number | undefined;
  /** Term of that leader, which gets the proposal at most once. */
  sentInTerm: number | undefined;
  /** When it may be passed to a leader after a failed send. */
  retryAt: number;
  /** A snapshot that was installed since may include it. */
  mayBeInSnapshot: boolean;
}

interface PendingRead {
  readonly since: number;
  requestedAt: number | undefined;
  /** The read index, once the leader has confirmed it. */
  index: number | undefined;
}

/** The proposals and reads made at this member that are not settled yet. */
export class PendingRequests {
  readonly #state: MemberState;
  readonly #proposals = new Map<string, PendingProposal>();
  readonly #reads = new Map<string, PendingRead>();

  constructor(state: MemberState) {
    this.#state = state;
  }

  addProposal(id: string, body: ProposalBody, now: number): void {
    this.#proposals.set(id, {
      body,
      since: now,
      sentToLeaderAt: undefined,
      sentInTerm: undefined,
      retryAt: now,
      mayBeInSnapshot: false,
    });
  }

  addRead(id: string, now: number): void {
    this.#reads.set(id, {
      since: now,
      requestedAt: undefined,
      index: undefined,
    });
  }

  /** Returns the proposals to pass to the current leader, and marks them. */
  takeProposals(now: number): { id: string; body: ProposalBody }[] {
    const taken = [];
    for (const [id, proposal] of this.#proposals) {
      const { sentToLeaderAt, sentInTerm, retryAt } = proposal;
      if (sentToLeaderAt !== undefined || now < retryAt) continue;
      if (sentInTerm === this.#state.term) continue;
      proposal.sentToLeaderAt = now;
      proposal.sentInTerm = this.#state.term;
      proposal.mayBeInSnapshot = false;
      taken.push({ id, body: proposal.body });
    }
    return taken;
  }

  /** Returns the reads to request from the current leader, and marks them. */
  takeReads(now: number): string[] {
    const ids: string[] = [];
    for (const [id, read] of this.#reads) {
      if (read.index !== undefined) continue;
      const { requestedAt } = read;
      if (requestedAt !== undefined && now - requestedAt < READ_RETRY_MS)
        continue;
      read.requestedAt = now;
      ids.push(id);
    }
    return ids;
  }

  /** Schedules another attempt, which is safe since nothing was sent. */
  retryProposal(id: string, now: number): void {
    const proposal = this.#proposals.get(id);
    if (!proposal) return;
    proposal.sentToLeaderAt = undefined;
    proposal.sentInTerm = undefined;
    proposal.retryAt = now + SEND_RETRY_MS;
  }

  /** Handles a refusal by the leader of a term: the proposal has no effect. */
  handleRefusal({ id, fault, proposedTerm }: Refusal): void {
    const proposal = this.#proposals.get(id);
    // A late refusal by an earlier leader must not count for the current one.
    if (proposal?.sentInTerm !== proposedTerm) return;
    if (fault.type === "not_leader") proposal.sentToLeaderAt = undefined;
    else this.#fail(id, fault);
  }

  /** Repeats at the new leader the reads requested from the former one. */
  handleLeaderChange(): void {
    for (const read of this.#reads.values()) read.requestedAt = undefined;
  }

  handleReadIndex(ids: readonly string[], index: number): void {
    for (const id of ids) {
      const read = this.#reads.get(id);
      if (read) read.index ??= index;
    }
  }

  /**
   * Settles the proposals among the applied entries, and schedules those for
   * another attempt that have no effect: the entry of a proposal has the term in
   * which it was sent, and all such entries come before one of a later term.
   */
  handleApplied(entries: readonly LogEntry[]): void {
    for (const { id } of entries) {
      if (id !== undefined) this.#proposals.delete(id);
    }
    const term = entries.at(-1)?.term ?? 0;
    for (const proposal of this.#proposals.values()) {
      const { sentInTerm, mayBeInSnapshot } = proposal;
      if (sentInTerm === undefined || sentInTerm >= term) continue;
      if (!mayBeInSnapshot) proposal.sentToLeaderAt = undefined;
    }
  }

  /** Notes that entries were applied as a part of a snapshot. */
  handleSnapshotInstalled(): void {
    for (const proposal of this.#proposals.values()) {
      proposal.mayBeInSnapshot = true;
    }
  }

  /**
   * Settles the reads whose index is applied, and fails the requests that have
   * waited too long.
   */
  settle(now: number): void {
    const { applied, limits } = this.#state;
    for (const [id, read] of this.#reads) {
      if (read.index !== undefined && read.index <= applied) {
        this.#reads.delete(id);
        this.#state.emit({ type: "read", id, index: read.index });
      } else if (now - read.since >= limits.noQuorumAfterMs) {
        this.#reads.delete(id);
        const fault = { type: "no_quorum" } as const;
        this.#state.emit({ type: "failed", id, fault });
      }
    }
    for (const [id, { since, sentToLeaderAt }] of this.#proposals) {
      if (sentToLeaderAt === undefined) {
        if (now - since < limits.noQuorumAfterMs) continue;
        this.#fail(id, { type: "no_quorum" });
      } else if (now - sentToLeaderAt >= limits.unknownAfterMs) {
        this.#fail(id, { type: "result_unknown" });
      }
    }
  }

  #fail(id: string, fault: ChangeFault): void {
    if (!this.#proposals.delete(id)) return;
    this.#state.emit({ type: "failed", id, fault });
  }
}
