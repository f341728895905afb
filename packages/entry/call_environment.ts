import type { BackendServer, Clock } from "#model";
import type { TenantQuotas } from "#quota_service";
import type { Logger, Metrics } from "#telemetry";
import type { KeyAccess } from "#tenants";
import type { Assignments } from "./assignments.ts";
import type { BackendClient } from "./backend_client.ts";
import type { CallProtocol } from "./call_protocol.ts";
import type { HandoverClient } from "./handover_client.ts";
import type { HeldResources } from "./held_resources.ts";
import type { KeyClaims } from "./key_claims.ts";
import type { PathMonitor } from "./path_monitor.ts";
import type { QuarantineCoordinator } from "./quarantine_coordinator.ts";
import type { BodyLimits } from "./request_body.ts";
import type { RequestClassifier } from "./request_classifier.ts";
import type { ServicePolicies } from "./service_policies.ts";
import type { StopSchedule } from "./stop_schedule.ts";

/** What the stages of a call use of the entry that serves it. */
export interface CallEnvironment {
  readonly entry: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly assignments: Assignments;
  readonly client: BackendClient;
  readonly resources: HeldResources;
  readonly protocol: CallProtocol;
  readonly claims: KeyClaims;
  readonly quarantine: QuarantineCoordinator;
  readonly policies: ServicePolicies;
  readonly paths: PathMonitor;
  readonly handovers: HandoverClient;
  readonly keyAccess: KeyAccess;
  readonly quotas: TenantQuotas;
  /** Number of calls in progress that other entries have passed on. */
  readonly handedOverCalls: () => number;
  /** Ids of the servers to which a suspected request should not be sent. */
  readonly serversToAvoid: (
    service: string,
    dataCentres: readonly string[],
  ) => readonly string[];
  readonly classifier: () => RequestClassifier;
  /** Whether the configuration is confirmed, so that calls may be accepted. */
  readonly ready: () => boolean;
  readonly bodyLimits: () => BodyLimits;
  /** The configuration version in force and the age of its confirmation. */
  readonly configuration: () => { version: number; confirmedMsAgo: number };
  /** Present while the entry stops within a limited time. */
  readonly stopSchedule: () => StopSchedule | undefined;
  /** Called when a server reports in a response that it is leaving. */
  readonly onServerLeaving: (server: BackendServer) => void;
}
