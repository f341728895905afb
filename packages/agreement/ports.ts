import type { Result } from "neverthrow";
import type { HostId } from "#model";
import type {
  AgreementStatus,
  ChangeFault,
  Founding,
  ReadFault,
  SubmitFault,
  Write,
} from "./effects.ts";
import type { Entry, Snapshot } from "./entry_log.ts";
import type { MemberChange, MemberKey } from "./members.ts";
import type { AgreementMessages } from "./messages.ts";

/** A deterministic state that every member builds from the same commands. */
export interface StateMachine<Command, Reply> {
  /** Runs a command; must neither fail nor depend on anything else. */
  apply(index: number, command: Command): Reply;
  snapshot(): Uint8Array;
  restore(bytes: Uint8Array): void;
}

/** What a folder holds when it is opened. */
export interface StoredState {
  /** Made once for an empty folder; lost with the disk. */
  readonly identity: string;
  readonly founding: Founding | undefined;
  readonly term: number;
  readonly vote: MemberKey | undefined;
  readonly snapshot: Snapshot | undefined;
  /** The entries after the snapshot. */
  readonly entries: readonly Entry[];
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

/** Why a member stopped by itself. */
export type StopFault =
  | StorageFault
  /** The state machine threw, so this replica can no longer follow. */
  | { readonly type: "machine_failed"; readonly detail: string };

/** Durable state of one member. */
export interface AgreementStorage {
  /** Reads the folder; an empty one gets a new identity, synced. */
  load(): Promise<Result<StoredState, StorageFault>>;
  /** Writes and syncs; after a fault the member must stop for good. */
  write(writes: readonly Write[]): Promise<Result<void, StorageFault>>;
  close(): Promise<void>;
}

/** Where the adapter reports; consola's instances fit. */
export interface Logger {
  info(message: string, details?: unknown): void;
  warn(message: string, details?: unknown): void;
  error(message: string, details?: unknown): void;
}

/** The part of the wire's `Network` that the log uses. */
export interface AgreementNetwork {
  send<K extends keyof AgreementMessages>(
    to: HostId,
    kind: K,
    payload: AgreementMessages[K],
  ): boolean;
  handle<K extends keyof AgreementMessages>(
    kind: K,
    handler: (
      payload: AgreementMessages[K],
      from: { readonly id: HostId },
    ) => void,
  ): void;
}

/** The replicated log as control uses it, on any member. */
export interface ReplicatedLog<Command, Reply> {
  /** Resolves once the command is applied here, with this member's reply. */
  submit(command: Command): Promise<Result<Reply, SubmitFault>>;
  /** Resolves once a linearizable read index is applied here. */
  confirm(): Promise<Result<number, ReadFault>>;
  /** Resolves with the index of the entry that made the change. */
  changeMembers(change: MemberChange): Promise<Result<number, ChangeFault>>;
  /**
   * Replaces the former identity of a host by the one that it announces now, as
   * single changes: add, catch up, remove the former, promote.
   */
  replaceMember(host: HostId): Promise<Result<number, ChangeFault>>;
  status(): AgreementStatus;
  /** Settles when the member has stopped; with the fault that stopped it. */
  readonly stopped: Promise<StopFault | undefined>;
  close(): Promise<void>;
}
