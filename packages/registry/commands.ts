import type { DocumentFault } from "#document";
import type { ControlPeer, Entry, HostId, StopPhase } from "#model";
import type { ItemFault, PutItems } from "./items.ts";

/**
 * Who asks for a change. The control host that takes the request compares the
 * credential with its settings, because replicas may have different settings
 * and must still decide alike; the registry compares the hash with the teams.
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
  /** Revision of the section that the change starts from; 0 for a new one. */
  readonly baseRevision: number;
  /** The same in each re-send of a change. */
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

/** Takes an entry out of the view. */
export interface EntryLeft {
  readonly type: "entry_left";
  readonly id: HostId;
  readonly incarnation: number;
  readonly at: number;
}

/**
 * Several changes of entries as one new view. Each view is asked for claims
 * until it has ended, so a site that starts should not make one per entry.
 */
export interface EntriesChanged {
  readonly type: "entries_changed";
  readonly changes: readonly (EntryJoined | EntryChanged | EntryLeft)[];
  readonly at: number;
}

/**
 * Ends former views: a majority of the entries of each knows its successor. It
 * is a command of its own, because only a time after that is a safe end.
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
  /** `StopRun.version` of the phase that the leader decided on. */
  readonly version: number;
  readonly phase: Exclude<StopPhase, "pending">;
  readonly at: number;
}

/** Backend servers said that they leave. */
export interface ServersLeaving {
  readonly type: "servers_leaving";
  readonly servers: readonly {
    readonly id: string;
    readonly incarnation: number;
  }[];
  readonly at: number;
}

/** The control hosts differ from those in the agreed state. */
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

/** Answers to a put. */
export type PutReply =
  | {
      readonly type: "accepted";
      readonly section: string;
      readonly sectionRevision: number;
      readonly documentRevision: number;
      /** Version of the configuration that has the change. */
      readonly version: number;
    }
  | {
      readonly type: "conflict";
      readonly section: string;
      readonly revision: number;
      /** Absent where the history no longer has this revision. */
      readonly text?: string;
    }
  | {
      readonly type: "forbidden";
      readonly section: string;
      /** Absent where the section has no owner yet. */
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

/** Answers to a change of items. */
export type PutItemsReply =
  | { readonly type: "items_held"; readonly version: number }
  | {
      readonly type: "items_invalid";
      readonly faults: readonly ItemFault[];
      /** Faults beyond those listed. */
      readonly omitted: number;
    };

/** Answers to changes of the view and of stops. */
export type RegistryReply =
  | PutReply
  | PutItemsReply
  | { readonly type: "done"; readonly version: number }
  /** Nothing was left to do: a repeated command. */
  | { readonly type: "unchanged"; readonly version: number }
  /** The command is based on a state that is no longer there. */
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
