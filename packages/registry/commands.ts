import type { DocumentFault } from "#document";
import type { ControlPeer, Entry, HostId, StopPhase } from "#model";
import type { ItemFault, PutItems } from "./items.ts";

/**
 * Who requests a change. The control host that receives the request compares
 * the system credential with its settings: replicas may have different settings
 * and must still decide alike. The registry compares the hash with the teams'.
 */
export type Actor =
  | { readonly type: "system" }
  | {
      readonly type: "team";
      /** SHA-256 of the presented credential, in hexadecimal. */
      readonly credentialSha256: string;
    };

/** Replaces the text of a section. */
export interface PutSection {
  readonly type: "put_section";
  readonly section: string;
  readonly text: string;
  /** Revision of the section that the change is based on; 0 for a new one. */
  readonly baseRevision: number;
  /** Idempotency key: the same each time that a change is resent. */
  readonly changeId: string;
  readonly actor: Actor;
  /** The leader's wall-clock time in milliseconds since the Unix epoch. */
  readonly at: number;
}

/** Adds an entry to the view, or replaces its former incarnation. */
export interface EntryJoined {
  readonly type: "entry_joined";
  readonly entry: Entry;
  readonly at: number;
}

/** Changes an entry of the view within its incarnation. */
export interface EntryChanged {
  readonly type: "entry_changed";
  readonly entry: Entry;
  readonly at: number;
}

/** Removes an entry from the view. */
export interface EntryLeft {
  readonly type: "entry_left";
  readonly id: HostId;
  readonly incarnation: number;
  readonly at: number;
}

/**
 * Several changes of entries that make one new view. Claims query every view
 * until it has ended, so a starting site should not create one per entry.
 */
export interface EntriesChanged {
  readonly type: "entries_changed";
  readonly changes: readonly (EntryJoined | EntryChanged | EntryLeft)[];
  readonly at: number;
}

/**
 * Ends former views of which a majority of the entries knows the next view. A
 * command of its own, because only a time after that point is a safe end.
 */
export interface ViewsSettled {
  readonly type: "views_settled";
  readonly epochs: readonly number[];
  readonly at: number;
}

/** Moves a planned stop to its next phase. */
export interface StopAdvanced {
  readonly type: "stop_advanced";
  readonly stop: string;
  /** `StopRun.version` that the leader based its decision on. */
  readonly version: number;
  readonly phase: Exclude<StopPhase, "pending">;
  readonly at: number;
}

/** Records that backend servers are leaving. */
export interface ServersLeaving {
  readonly type: "servers_leaving";
  readonly servers: readonly {
    readonly id: string;
    readonly incarnation: number;
  }[];
  /**
   * False if no host knows the servers; only the leader reads it, before it logs the
   * command. Absent in commands of earlier builds.
   */
  readonly isKnown?: boolean;
  readonly at: number;
}

/** Replaces the list of control hosts. */
export interface ControlsChanged {
  readonly type: "controls_changed";
  readonly controls: readonly ControlPeer[];
  readonly at: number;
}

export type RegistryCommand =
  | PutSection
  | PutItems
  | ServersLeaving
  | ControlsChanged
  | EntryJoined
  | EntryChanged
  | EntryLeft
  | EntriesChanged
  | ViewsSettled
  | StopAdvanced;

/** Replies to `put_section`. */
export type PutReply =
  | {
      readonly type: "accepted";
      readonly section: string;
      readonly sectionRevision: number;
      readonly documentRevision: number;
      /** First version of the configuration that contains the change. */
      readonly version: number;
    }
  | {
      readonly type: "conflict";
      readonly section: string;
      readonly revision: number;
      /** Absent if the history no longer has this revision. */
      readonly text?: string;
    }
  | {
      readonly type: "forbidden";
      readonly section: string;
      /** Absent if the section has no owner yet. */
      readonly owner?: string;
    }
  | { readonly type: "unknown_credential" }
  | {
      readonly type: "invalid";
      readonly faults: readonly DocumentFault[];
      /** Faults beyond those listed. */
      readonly omitted: number;
    }
  | { readonly type: "change_id_reused"; readonly changeId: string };

/** Replies to `put_items`. */
export type PutItemsReply =
  | { readonly type: "items_held"; readonly version: number }
  | {
      readonly type: "items_invalid";
      readonly faults: readonly ItemFault[];
      /** Faults beyond those listed. */
      readonly omitted: number;
    };

/** Replies to all commands. */
export type RegistryReply =
  | PutReply
  | PutItemsReply
  | { readonly type: "done"; readonly version: number }
  /** The command has been applied before. */
  | { readonly type: "unchanged"; readonly version: number }
  /** The command is based on an outdated state. */
  | {
      readonly type: "stale";
      readonly version: number;
      readonly reason: StaleReason;
    };

export type StaleReason =
  | "older_incarnation"
  | "unknown_entry"
  | "no_way_back"
  | "unknown_stop"
  | "other_run";
