import type { IncomingMessage } from "node:http";
import type { BackendServer } from "#model";
import { recordEndpointFailure } from "#telemetry";
import type { TrackedResponse } from "#wire";
import type { CallEnvironment } from "./call_environment.ts";
import { CallExecution, type CallProgress } from "./call_execution.ts";
import type { HandoverOrigin } from "./handover_protocol.ts";
import type { StopSchedule } from "./stop_schedule.ts";

/** Forwards calls to backend servers and their responses to the callers. */
export class ReverseProxy {
  readonly #options: CallEnvironment;
  readonly #executions = new Map<string, CallExecution>();
  readonly #idPrefix: string;
  #callCount = 0;

  constructor(options: CallEnvironment) {
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
      recordEndpointFailure("callers");
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
