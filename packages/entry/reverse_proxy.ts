import type { IncomingMessage } from "node:http";
import type { BackendServer, Clock } from "#model";
import type { Logger, Metrics } from "#telemetry";
import type { TrackedResponse } from "#wire";
import type { Assignments } from "./assignments.ts";
import type { BackendClient } from "./backend_client.ts";
import { CallExecution, type CallProgress } from "./call_execution.ts";
import type { CallProtocol } from "./call_protocol.ts";
import type { HandoverClient } from "./handover_client.ts";
import type { HandoverOrigin } from "./handover_protocol.ts";
import type { KeyClaims } from "./key_claims.ts";
import type { PathMonitor } from "./path_monitor.ts";
import type { QuarantineCoordinator } from "./quarantine_coordinator.ts";
import type { BodyLimits } from "./request_body.ts";
import type { RequestClassifier } from "./request_classifier.ts";
import type { ServicePolicies } from "./service_policies.ts";
import type { StopSchedule } from "./stop_schedule.ts";

export interface ReverseProxyOptions {
  readonly entry: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly assignments: Assignments;
  readonly client: BackendClient;
  readonly protocol: CallProtocol;
  readonly claims: KeyClaims;
  readonly quarantine: QuarantineCoordinator;
  readonly policies: ServicePolicies;
  readonly paths: PathMonitor;
  readonly handovers: HandoverClient;
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

/** Forwards calls to backend servers and their responses to the callers. */
export class ReverseProxy {
  readonly #options: ReverseProxyOptions;
  readonly #executions = new Map<string, CallExecution>();
  readonly #idPrefix: string;
  #callCount = 0;

  constructor(options: ReverseProxyOptions) {
    this.#options = options;
    // The start time keeps ids unique over restarts of the entry.
    const start = Math.floor(options.clock.wallTime()).toString(36);
    this.#idPrefix = `${options.entry}-${start}`;
  }

  /** Serves one request of a caller. */
  serve(
    request: IncomingMessage,
    response: TrackedResponse,
    origin?: HandoverOrigin,
  ): void {
    this.#callCount += 1;
    const id = `${this.#idPrefix}-${this.#callCount.toString(36)}`;
    const execution = new CallExecution(this.#options, {
      id,
      request,
      response,
      origin,
    });
    this.#executions.set(id, execution);
    response.once("close", () => {
      this.#executions.delete(id);
      execution.onResponseClosed();
    });
    execution.run().catch((cause: unknown) => {
      this.#options.logger.error("call failed unexpectedly", {
        requestId: id,
        cause,
      });
      execution.abort();
    });
  }

  /** Refuses the calls in progress that are not sent to a server in time. */
  beginStop(schedule: StopSchedule): void {
    for (const call of this.#executions.values()) call.beginStop(schedule);
  }

  /** To be called when this entry reaches no server of the service any more. */
  cutOff(service: string): void {
    for (const call of this.#executions.values()) call.cutOff(service);
  }

  /** To be called when no server has answered since then. */
  giveUpRunning(service: string): void {
    for (const call of this.#executions.values()) call.giveUpRunning(service);
  }

  /** Number of calls in progress that other entries have passed on. */
  get handedOverCalls(): number {
    let count = 0;
    for (const call of this.#executions.values())
      if (call.isHandedOver) count++;
    return count;
  }

  /** Number of calls in progress. */
  get activeCalls(): number {
    return this.#executions.size;
  }

  /** What is known of each call in progress. */
  progress(): CallProgress[] {
    return [...this.#executions.values()].map((call) => call.progress());
  }

  /** Number of calls in flight at the servers that match. */
  inFlightAt(matches: (server: BackendServer) => boolean): number {
    let count = 0;
    for (const { servers } of this.#executions.values()) {
      count += servers.filter(matches).length;
    }
    return count;
  }

  /** Number of calls in flight by service. */
  inFlight(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { servers } of this.#executions.values()) {
      for (const { service } of servers) {
        counts.set(service, (counts.get(service) ?? 0) + 1);
      }
    }
    return counts;
  }
}
