import type { LogEntry } from "./entry_log.ts";
import type { MemberState } from "./member_state.ts";
import { EMPTY_MEMBERSHIP, type MemberKey } from "./members.ts";
import type { AppendEntries, SnapshotChunk } from "./messages.ts";

/** A snapshot of which some chunks have arrived. */
interface IncomingSnapshot {
  readonly from: MemberKey;
  readonly index: number;
  readonly term: number;
  readonly parts: Uint8Array[];
  /** Bytes received so far. */
  length: number;
}

/**
 * The follower side of replication: stores the leader's entries and snapshots.
 */
export class LogReceiver {
  readonly #state: MemberState;
  #incoming: IncomingSnapshot | undefined;

  constructor(state: MemberState) {
    this.#state = state;
  }

  handleAppend(message: AppendEntries): void {
    const { log } = this.#state;
    const { previousIndex, previousTerm, round } = message;
    const isCompacted = previousIndex < log.baseIndex;
    if (!isCompacted && log.term(previousIndex) !== previousTerm) {
      this.#state.send(message.from, "agreement.append_reply", {
        round,
        accepted: false,
        match: Math.min(log.lastIndex, previousIndex - 1),
        refused: previousIndex,
      });
      return;
    }
    this.#appendMissing(message.entries);
    const lastSent = previousIndex + message.entries.length;
    // Entries up to the base index are in a snapshot and therefore committed.
    const match = Math.max(lastSent, log.baseIndex);
    this.#state.commit = Math.max(
      this.#state.commit,
      Math.min(message.commit, match),
    );
    this.#sendAccepted(message.from, match, round);
  }

  handleChunk(message: SnapshotChunk): void {
    const { from, index, offset, round } = message;
    if (index <= this.#state.commit) {
      this.#sendAccepted(from, index, round);
      return;
    }
    const incoming = this.#incomingFor(message);
    if (offset === incoming.length) {
      incoming.parts.push(message.bytes);
      incoming.length += message.bytes.length;
    }
    if (incoming.length === message.total) {
      this.#install(message, Buffer.concat(incoming.parts));
      this.#sendAccepted(from, index, round);
      return;
    }
    this.#state.send(from, "agreement.chunk_reply", {
      index,
      offset: incoming.length,
      round,
    });
  }

  #sendAccepted(to: MemberKey, match: number, round: number): void {
    const accepted = { round, accepted: true, match, refused: 0 };
    this.#state.send(to, "agreement.append_reply", accepted);
  }

  /** Appends the missing entries; a conflict replaces the rest of the log. */
  #appendMissing(entries: readonly LogEntry[]): void {
    const { log } = this.#state;
    const first = entries.findIndex(
      ({ index, term }) => index > log.baseIndex && log.term(index) !== term,
    );
    if (first >= 0) this.#state.appendEntries(entries.slice(first));
  }

  #incomingFor({ from, index, snapshotTerm }: SnapshotChunk): IncomingSnapshot {
    const current = this.#incoming;
    const isSame =
      current?.from === from &&
      current.index === index &&
      current.term === snapshotTerm;
    if (current && isSame) return current;
    const fresh = { from, index, term: snapshotTerm, parts: [], length: 0 };
    this.#incoming = fresh;
    return fresh;
  }

  #install(message: SnapshotChunk, bytes: Uint8Array): void {
    const state = this.#state;
    const { index, snapshotTerm: term, membership } = message;
    const snapshot = { index, term, membership, bytes };
    this.#incoming = undefined;
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
      state.persistedIndex = index;
    }
    state.commit = index;
    state.applied = index;
    state.emit({ type: "restore", snapshot });
    state.emitNotice({ type: "snapshot_installed", index });
  }
}
