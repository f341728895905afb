import type { BackendServer, BackendServerId } from "#model";

/** Whether a failure is due to the server or to the path from this entry. */
export type Fault = "server" | "path";

/** The result of an attempt to open a connection. */
export type ConnectionResult =
  | "accepted"
  | "failed"
  /** This process was paused meanwhile. */
  | "unknown";

/** What is known of the failures that led to a belief, for the log. */
export interface PathEvidence {
  /** Servers that failed, with the milliseconds since then. */
  readonly failed: readonly (readonly [BackendServerId, ageMs: number])[];
  /** Data centres of the servers that were tried or failed. */
  readonly dataCentres: readonly string[];
  /** Milliseconds since a server answered; undefined if none has. */
  readonly heardMsAgo: number | undefined;
}

/** Actions for the owner of `ServerPaths` to execute. */
export type PathEffect =
  /** Open a connection to the server and report the result. */
  | { readonly type: "connect"; readonly server: BackendServer }
  /** Answers all questions about a failure of this server. */
  | {
      readonly type: "judged";
      readonly server: BackendServer;
      readonly fault: Fault;
    }
  | {
      readonly type: "cut_off";
      readonly service: string;
      readonly evidence: PathEvidence;
    }
  /** No server has answered since the cut; running calls should be given up. */
  | { readonly type: "silent"; readonly service: string }
  | {
      readonly type: "restored";
      readonly service: string;
      readonly afterMs: number;
    }
  /** Calls should avoid the servers of this data centre. */
  | {
      readonly type: "data_centre_lost";
      readonly service: string;
      readonly dataCentre: string;
      readonly evidence: PathEvidence;
    }
  | {
      readonly type: "data_centre_restored";
      readonly service: string;
      readonly dataCentre: string;
      readonly afterMs: number;
    };
