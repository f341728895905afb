import type { Entry } from "./entry_log.ts";
import type { MemberState } from "./member_state.ts";
import { EMPTY_MEMBERSHIP, type MemberKey } from "./members.ts";
import type { Append, SnapshotChunk } from "./messages.ts";

interface Reception {
  readonly from: MemberKey;
  readonly index: number;
  readonly term: number;
  readonly parts: Uint8Array[];
  length: number;
}

/** Takes entries and snapshots from the leader. */
export class Replication {
  readonly #state: MemberState;
  #reception: Reception | undefined;

  constructor(state: MemberState) {
    this.#state = state;
  }

  append(message: Append): void {
    const { log } = this.#state;
    const { previousIndex, previousTerm, round } = message;
    const isCovered = previousIndex < log.baseIndex;
    if (!isCovered && log.term(previousIndex) !== previousTerm) {
      this.#state.send(message.from, "agreement.append_reply", {
        round,
        accepted: false,
        match: Math.min(log.lastIndex, previousIndex - 1),
        refused: previousIndex,
      });
      return;
    }
    this.#takeEntries(message.entries);
    const end = previousIndex + message.entries.length;
    // Entries up to the base are covered by a snapshot and so committed.
    const match = Math.max(end, log.baseIndex);
    this.#state.commit = Math.max(
      this.#state.commit,
      Math.min(message.commit, match),
    );
    this.#accept(message.from, match, round);
  }

  chunk(message: SnapshotChunk): void {
    const { from, index, offset, round } = message;
    if (index <= this.#state.commit) {
      this.#accept(from, index, round);
      return;
    }
    const reception = this.#receptionOf(message);
    if (offset === reception.length) {
      reception.parts.push(message.bytes);
      reception.length += message.bytes.length;
    }
    if (reception.length === message.total) {
      this.#install(message, Buffer.concat(reception.parts));
      this.#accept(from, index, round);
      return;
    }
    this.#state.send(from, "agreement.chunk_reply", {
      index,
      offset: reception.length,
      round,
    });
  }

  #accept(to: MemberKey, match: number, round: number): void {
    const accepted = { round, accepted: true, match, refused: 0 };
    this.#state.send(to, "agreement.append_reply", accepted);
  }

  /** Appends what is missing; a conflict replaces the rest of the log. */
  #takeEntries(entries: readonly Entry[]): void {
    const { log } = this.#state;
    const first = entries.findIndex(
      ({ index, term }) => index > log.baseIndex && log.term(index) !== term,
    );
    if (first >= 0) this.#state.appendEntries(entries.slice(first));
  }

  #receptionOf({ from, index, snapshotTerm }: SnapshotChunk): Reception {
    const current = this.#reception;
    const isSame =
      current?.from === from &&
      current.index === index &&
      current.term === snapshotTerm;
    if (current && isSame) return current;
    const fresh = { from, index, term: snapshotTerm, parts: [], length: 0 };
    this.#reception = fresh;
    return fresh;
  }

  #install(message: SnapshotChunk, bytes: Uint8Array): void {
    const state = this.#state;
    const { index, snapshotTerm: term, membership } = message;
    const snapshot = { index, term, membership, bytes };
    this.#reception = undefined;
    const keepLog = state.log.term(index) === term;
    state.persist({ type: "snapshot", snapshot, keepLog });
    state.snapshot = snapshot;
    if (keepLog) state.log.compact(index);
    else {
      state.log.reset({
        index,
        term,
        membership: membership ?? EMPTY_MEMBERSHIP,
      });
      state.persisted = index;
    }
    state.commit = index;
    state.applied = index;
    state.effect({ type: "restore", snapshot });
    state.notice({ type: "snapshot_installed", index });
  }
}
