import type { ChangeFault } from "./effects.ts";
import type { Entry } from "./entry_log.ts";
import type { MemberState } from "./member_state.ts";
import type { ProposalBody, ProposeRefused } from "./messages.ts";

/** A lost read request or answer is repeated after this time. */
const REPEAT_READ_MS = 500;
/** Wait before a proposal that found no connection is tried again. */
const RECONNECT_MS = 100;

type Refusal = Pick<ProposeRefused, "id" | "fault" | "proposedTerm">;

interface Proposal {
  readonly body: ProposalBody;
  readonly since: number;
  /** When it was handed to a leader; until then it has no effect. */
  handedAt: number | undefined;
  /** The term of that leader; it gets the proposal at most once. */
  handedTerm: number | undefined;
  retryAt: number;
}

interface Read {
  readonly since: number;
  askedAt: number | undefined;
  index: number | undefined;
}

/** The requests that were made at this member and are not settled. */
export class Requests {
  readonly #state: MemberState;
  readonly #proposals = new Map<string, Proposal>();
  readonly #reads = new Map<string, Read>();

  constructor(state: MemberState) {
    this.#state = state;
  }

  addProposal(id: string, body: ProposalBody, now: number): void {
    this.#proposals.set(id, {
      body,
      since: now,
      handedAt: undefined,
      handedTerm: undefined,
      retryAt: now,
    });
  }

  addRead(id: string, now: number): void {
    this.#reads.set(id, { since: now, askedAt: undefined, index: undefined });
  }

  /** Proposals that go to the present leader now. */
  takeProposals(now: number): { id: string; body: ProposalBody }[] {
    const taken = [];
    for (const [id, proposal] of this.#proposals) {
      const { handedAt, handedTerm, retryAt } = proposal;
      if (handedAt !== undefined || now < retryAt) continue;
      if (handedTerm === this.#state.term) continue;
      proposal.handedAt = now;
      proposal.handedTerm = this.#state.term;
      taken.push({ id, body: proposal.body });
    }
    return taken;
  }

  /** Reads that the present leader must be asked for now. */
  takeReads(now: number): string[] {
    const ids: string[] = [];
    for (const [id, read] of this.#reads) {
      if (read.index !== undefined) continue;
      const { askedAt } = read;
      if (askedAt !== undefined && now - askedAt < REPEAT_READ_MS) continue;
      read.askedAt = now;
      ids.push(id);
    }
    return ids;
  }

  /** A proposal was not sent, so it may be handed over again. */
  notDelivered(id: string, now: number): void {
    const proposal = this.#proposals.get(id);
    if (!proposal) return;
    proposal.handedAt = undefined;
    proposal.handedTerm = undefined;
    proposal.retryAt = now + RECONNECT_MS;
  }

  /** The leader of a term refused a proposal, which so has no effect. */
  refused({ id, fault, proposedTerm }: Refusal): void {
    const proposal = this.#proposals.get(id);
    // A late copy of a refusal must not count for a later leader.
    if (proposal?.handedTerm !== proposedTerm) return;
    if (fault.type === "not_leader") proposal.handedAt = undefined;
    else this.#fail(id, fault);
  }

  /** Reads asked of a former leader are asked again. */
  leaderChanged(): void {
    for (const read of this.#reads.values()) read.askedAt = undefined;
  }

  readIndex(ids: readonly string[], index: number): void {
    for (const id of ids) {
      const read = this.#reads.get(id);
      if (read) read.index ??= index;
    }
  }

  applied(entries: readonly Entry[]): void {
    for (const { id } of entries) {
      if (id !== undefined) this.#proposals.delete(id);
    }
  }

  /** Settles the reads that are applied and those that waited too long. */
  settle(now: number): void {
    const { applied, limits } = this.#state;
    for (const [id, read] of this.#reads) {
      if (read.index !== undefined && read.index <= applied) {
        this.#reads.delete(id);
        this.#state.effect({ type: "read", id, index: read.index });
      } else if (now - read.since >= limits.noQuorumAfterMs) {
        this.#reads.delete(id);
        const fault = { type: "no_quorum" } as const;
        this.#state.effect({ type: "failed", id, fault });
      }
    }
    for (const [id, { since, handedAt }] of this.#proposals) {
      if (handedAt === undefined) {
        if (now - since < limits.noQuorumAfterMs) continue;
        this.#fail(id, { type: "no_quorum" });
      } else if (now - handedAt >= limits.unknownAfterMs) {
        this.#fail(id, { type: "result_unknown" });
      }
    }
  }

  #fail(id: string, fault: ChangeFault): void {
    if (!this.#proposals.delete(id)) return;
    this.#state.effect({ type: "failed", id, fault });
  }
}
