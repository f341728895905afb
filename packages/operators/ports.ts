import type { Result } from "neverthrow";
import type { Address, BackendServer, DataCentre, HostId } from "#model";
import type {
  RegistryCommand,
  RegistryConfiguration,
  RegistryReply,
  SectionRevision,
} from "#registry";

/** Why the replicated log did not confirm a command or a read. */
export type LogFault =
  /** Nothing was done: this host cannot reach a majority. */
  | { readonly type: "no_quorum" }
  /** Nothing was done: the configuration would be longer than entries can be sent. */
  | { readonly type: "configuration_too_large" }
  /** The command may or may not be applied. */
  | { readonly type: "result_unknown" }
  /** Nothing was done: this host is stopping. */
  | { readonly type: "closed" };

/** The replicated log as the operators' API uses it. */
export interface CommandLog {
  /** Commits a command to the log and returns the registry's reply. */
  submit(command: RegistryCommand): Promise<Result<RegistryReply, LogFault>>;
  /** Resolves once the local registry has applied all earlier commits. */
  confirm(): Promise<Result<unknown, LogFault>>;
}

/** The local replica of the registry. */
export interface RegistryReader {
  configuration(): RegistryConfiguration;
  section(name: string): SectionRevision | undefined;
  sections(): readonly SectionRevision[];
  history(name: string): readonly SectionRevision[];
}

/** Status of one entry or control process, as control knows it. */
export interface HostStatus {
  readonly id: HostId;
  readonly role: "entry" | "control";
  readonly dataCentre?: DataCentre;
  readonly http?: Address;
  readonly peer: Address;
  readonly incarnation?: number;
  /**
   * `ready`, `stopping` or `lost` for entries, a role in the log for control.
   */
  readonly state:
    | "ready"
    | "stopping"
    | "lost"
    | "leader"
    | "follower"
    | "learner";
  /** Version of the configuration in force on the host, if known. */
  readonly version?: number;
  /** Time of its last message, in milliseconds since the Unix epoch. */
  readonly lastHeard?: number;
  /**
   * Start of its lag behind the newest configuration, in epoch milliseconds.
   */
  readonly laggingSince?: number;
}

/** Current state of hosts and backend servers, which is not replicated. */
export interface LiveStatus {
  hosts(): Promise<readonly HostStatus[]>;
  servers(): Promise<readonly BackendServer[]>;
  /** Id of the control leader, if there is one. */
  leader(): HostId | undefined;
}

/** Waits for configurations to be in force. */
export interface Rollout {
  /**
   * Resolves to true once the version is in force on a majority of the entries
   * in the view, or to false after 5 s, which is less than the 6 s that clients
   * allow for an attempt.
   */
  inForce(version: number): Promise<boolean>;
}

/** A member of the control cluster, which replicates the log. */
export interface Member {
  readonly id: HostId;
  /** Absent if the settings of this host do not list the member. */
  readonly peer?: Address;
  /** `lost`: it runs with an empty data folder and has to be added again. */
  readonly role: "voter" | "learner" | "lost";
}

export type MemberChange =
  | { readonly type: "add"; readonly id: HostId; readonly peer: Address }
  | { readonly type: "remove"; readonly id: HostId };

/** Why a change of members failed. */
export type MemberChangeFault =
  | LogFault
  | { readonly type: "member_change_refused"; readonly reason: string };

/** Membership of the control cluster. */
export interface Members {
  list(): readonly Member[];
  change(change: MemberChange): Promise<Result<unknown, MemberChangeFault>>;
}
