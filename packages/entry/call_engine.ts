import type { IncomingMessage, ServerResponse } from "node:http";
import type { BackendServer, Clock } from "#model";
import type { Logger, Metrics } from "#telemetry";
import type { Assignments } from "./assignments.ts";
import type { BackendClient } from "./backend_client.ts";
import { CallExecution } from "./call_execution.ts";
import type { CallProtocol } from "./call_protocol.ts";
import type { Classifier } from "./incoming_call.ts";
import type { KeyClaims } from "./key_claims.ts";
import type { BodyLimits } from "./request_body.ts";
import type { ServicePolicies } from "./service_policies.ts";
import type { Suspects } from "./suspects.ts";

export interface CallEngineOptions {
  readonly entry: string;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly assignments: Assignments;
  readonly client: BackendClient;
  readonly protocol: CallProtocol;
  readonly claims: KeyClaims;
  readonly suspects: Suspects;
  readonly policies: ServicePolicies;
  /** Servers that a suspected request should not run on. */
  readonly serversToAvoid: (
    service: string,
    dataCentres: readonly string[],
  ) => readonly string[];
  readonly classifier: () => Classifier;
  /** Whether the configuration is confirmed, so that work may be taken. */
  readonly ready: () => boolean;
  readonly bodyLimits: () => BodyLimits;
  /** The configuration version in force and the age of its confirmation. */
  readonly configuration: () => { version: number; confirmedMsAgo: number };
  /** A server said in its answer that it is leaving. */
  readonly serverLeaving: (server: BackendServer) => void;
}

/** Carries calls from callers to backend servers and back. */
export class CallEngine {
  readonly #options: CallEngineOptions;
  readonly #running = new Map<string, CallExecution>();
  readonly #prefix: string;
  #count = 0;

  constructor(options: CallEngineOptions) {
    this.#options = options;
    // Ids of an earlier process of the same entry must not come again.
    const start = Math.floor(options.clock.wallTime()).toString(36);
    this.#prefix = `${options.entry}-${start}`;
  }

  /** Serves one request of a caller; the final answer is sent once. */
  serve(request: IncomingMessage, response: ServerResponse): void {
    this.#count += 1;
    const id = `${this.#prefix}-${this.#count.toString(36)}`;
    const execution = new CallExecution(this.#options, {
      id,
      request,
      response,
    });
    this.#running.set(id, execution);
    response.once("close", () => {
      this.#running.delete(id);
      execution.callerClosed();
    });
    execution.run().catch((cause: unknown) => {
      this.#options.logger.error("call failed unexpectedly", {
        requestId: id,
        cause,
      });
      execution.abort();
    });
  }

  /** Calls under way. */
  get running(): number {
    return this.#running.size;
  }

  /** Calls in flight at the servers that match. */
  inFlightAt(matches: (server: BackendServer) => boolean): number {
    let count = 0;
    for (const { servers } of this.#running.values()) {
      count += servers.filter(matches).length;
    }
    return count;
  }

  /** Calls in flight by service. */
  inFlight(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { servers } of this.#running.values()) {
      for (const { service } of servers) {
        counts.set(service, (counts.get(service) ?? 0) + 1);
      }
    }
    return counts;
  }
}
