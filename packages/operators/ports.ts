import type { Result } from "neverthrow";
import type { Address, BackendServer, DataCentre, HostId } from "#model";
import type {
  RegistryCommand,
  RegistryConfiguration,
  RegistryReply,
  SectionRevision,
} from "#registry";

/** Why a command got no answer from the replicated log. */
export type LogFault =
  /** Nothing was done: this host cannot reach a majority. */
  | { readonly type: "no_quorum" }
  /** The command may or may not be applied. */
  | { readonly type: "result_unknown" }
  /** Nothing was done: this host is stopping. */
  | { readonly type: "closed" };

/** The replicated log as the operators' interface uses it. */
export interface ChangeLog {
  /** Applies a command on a majority and returns the registry's reply. */
  submit(command: RegistryCommand): Promise<Result<RegistryReply, LogFault>>;
  /** Resolves once the local registry has all that was accepted before. */
  confirm(): Promise<Result<unknown, LogFault>>;
}

/** The local replica of the registry. */
export interface RegistryReader {
  configuration(): RegistryConfiguration;
  section(name: string): SectionRevision | undefined;
  sections(): readonly SectionRevision[];
  history(name: string): readonly SectionRevision[];
}

/** What control knows about one process of the system. */
export interface HostStatus {
  readonly id: HostId;
  readonly role: "entry" | "control";
  readonly dataCentre?: DataCentre;
  readonly http?: Address;
  readonly peer: Address;
  readonly incarnation?: number;
  /** Entries are ready, stopping or lost; the others are control's roles. */
  readonly state:
    | "ready"
    | "stopping"
    | "lost"
    | "leader"
    | "follower"
    | "learner";
  /** Version of the configuration in force there, if it is known. */
  readonly version?: number;
  /** Milliseconds since the Unix epoch at which it was last heard. */
  readonly lastHeard?: number;
  /** Since when it has not had the newest configuration; epoch milliseconds. */
  readonly laggingSince?: number;
}

/** What is known now about hosts and backend servers; not replicated. */
export interface LiveStatus {
  hosts(): Promise<readonly HostStatus[]>;
  servers(): Promise<readonly BackendServer[]>;
  /** The leader of control, if there is one. */
  leader(): HostId | undefined;
}

/** Tells when a configuration is in force. */
export interface Rollout {
  /**
   * Resolves to true once a majority of the view's entries has the version in
   * force, and to false if that takes longer than 5 s; the client gives an
   * attempt 6 s.
   */
  inForce(version: number): Promise<boolean>;
}

/** One control host that agrees on the log. */
export interface Member {
  readonly id: HostId;
  /** Absent where this host's settings do not list the member. */
  readonly peer?: Address;
  /** `lost`: it runs with an empty folder and has to be added again. */
  readonly role: "voter" | "learner" | "lost";
}

export type MemberChange =
  | { readonly type: "add"; readonly id: HostId; readonly peer: Address }
  | { readonly type: "remove"; readonly id: HostId };

/** Why the members stay as they are. */
export type MemberFault =
  | LogFault
  | { readonly type: "member_change_refused"; readonly reason: string };

/** The members of control. */
export interface Members {
  list(): readonly Member[];
  change(change: MemberChange): Promise<Result<unknown, MemberFault>>;
}
