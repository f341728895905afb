import type { Result } from "neverthrow";
import type { HostId } from "#model";
import type {
  ChangeFault,
  ClusterBinding,
  ConsensusStatus,
  ReadFault,
  StorageWrite,
  SubmitFault,
} from "./effects.ts";
import type { LogEntry, Snapshot } from "./entry_log.ts";
import type { MemberChange, MemberKey } from "./members.ts";
import type { ConsensusMessages } from "./messages.ts";

/** The replicated state, which every member builds from the same commands. */
export interface StateMachine<Command, Reply> {
  /** Runs a command; must be deterministic and must not throw. */
  apply(index: number, command: Command): Reply;
  /**
   * Whether the leader may log a command behind the state and the commands that are
   * logged but not applied; default: always. The only place where all commands meet
   * in one order before they are accepted: a bound that is checked elsewhere holds
   * for one command at a time. Replicas of earlier builds apply what is logged.
   */
  admits?(command: Command, pending: () => readonly Command[]): boolean;
  snapshot(): Uint8Array;
  restore(bytes: Uint8Array): void;
}

/** The durable state of a member when its data folder is opened. */
export interface StoredState {
  /** Random id of the data folder, created with it and lost with it. */
  readonly identity: string;
  readonly founding: ClusterBinding | undefined;
  readonly term: number;
  readonly vote: MemberKey | undefined;
  readonly snapshot: Snapshot | undefined;
  /** The entries after the snapshot. */
  readonly entries: readonly LogEntry[];
}

export type StorageFault =
  | {
      readonly type: "write_failed";
      readonly operation: string;
      readonly code: string;
      readonly detail: string;
    }
  | {
      readonly type: "corrupt";
      readonly file: string;
      readonly offset: number;
      readonly detail: string;
    }
  | {
      readonly type: "unsupported_format";
      readonly file: string;
      readonly version: number;
    };

/** Why a member stopped without a request to stop. */
export type StopFault =
  | StorageFault
  /** The state machine threw, so this replica cannot apply further entries. */
  | { readonly type: "machine_failed"; readonly detail: string };

/** Stores the durable state of one member. */
export interface ConsensusStorage {
  /** Reads the stored state; an empty folder gets a new, synced identity. */
  load(): Promise<Result<StoredState, StorageFault>>;
  /** Writes and syncs; after a fault the member must stop. */
  write(writes: readonly StorageWrite[]): Promise<Result<void, StorageFault>>;
  close(): Promise<void>;
}

/** The log of the process; a consola instance implements it. */
export interface Logger {
  info(message: string, details?: unknown): void;
  warn(message: string, details?: unknown): void;
  error(message: string, details?: unknown): void;
}

/** The part of `Network` in #wire that the replicated log uses. */
export interface ConsensusNetwork {
  /** Sends a message; false if there is no connection to the host. */
  send<K extends keyof ConsensusMessages>(
    to: HostId,
    kind: K,
    payload: ConsensusMessages[K],
  ): boolean;
  handle<K extends keyof ConsensusMessages>(
    kind: K,
    handler: (
      payload: ConsensusMessages[K],
      from: { readonly id: HostId },
    ) => void,
  ): void;
}

/** A member of the replicated log; all calls work on any member. */
export interface ReplicatedLog<Command, Reply> {
  /** Resolves, once this member has applied the command, with its reply. */
  submit(command: Command): Promise<Result<Reply, SubmitFault>>;
  /**
   * Resolves with a linearizable read index, once this member has applied it:
   * its state then includes every command acknowledged before the call.
   */
  confirmRead(): Promise<Result<number, ReadFault>>;
  /** Resolves with the index of the entry that holds the new membership. */
  changeMembers(change: MemberChange): Promise<Result<number, ChangeFault>>;
  /**
   * Replaces a host's former identity by the one that it announces now, in
   * single changes: adds the new one as a learner, waits until it has caught
   * up, removes the former one, and promotes the new one.
   */
  replaceMember(host: HostId): Promise<Result<number, ChangeFault>>;
  status(): ConsensusStatus;
  /** Reports that the last connection to another control host was closed. */
  handleDisconnect(host: HostId): void;
  /** Resolves when the member has stopped, with the fault if there was one. */
  readonly stopped: Promise<StopFault | undefined>;
  close(): Promise<void>;
}
