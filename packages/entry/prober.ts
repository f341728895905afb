import type { BackendServer, Clock, Service } from "#model";
import type { Fault } from "#reachability";
import type {
  CheckFailure,
  CheckResult,
  ProbeResult,
  ServerStatement,
} from "#routing";
import type { Metrics } from "#telemetry";
import { afterPendingInput } from "#wire";
import { statementOf } from "./attempt_result.ts";
import type { BackendClient } from "./backend_client.ts";
import type { RequestResult } from "./backend_response.ts";
import type { CallProtocol, HealthReport } from "./call_protocol.ts";
import { EMPTY_BODY } from "./request_body.ts";

const PROBE_TIMEOUT_MS = 1_000;
/** Short, since a call waits for the check. */
const CHECK_TIMEOUT_MS = 100;

export interface ProberOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly client: BackendClient;
  readonly protocol: CallProtocol;
  readonly service: (name: string) => Service | undefined;
  /** Called when a server reports in a response that it is leaving. */
  readonly onServerLeaving: (server: BackendServer) => void;
  /** Called when a server has answered. */
  readonly onHeard: (server: BackendServer) => void;
  /** Finds out whose fault a failed connection or a missing answer is. */
  readonly judge: (server: BackendServer) => Promise<Fault>;
}

/** Requests health reports from backend servers; each uses a slot there. */
export class Prober {
  readonly #options: ProberOptions;

  constructor(options: ProberOptions) {
    this.#options = options;
  }

  /** Requests the load of a server that has sent no recent response. */
  async probe(server: BackendServer): Promise<ProbeResult> {
    const { ms, healthReport, failure, statement } = await this.#query(server, {
      timeoutMs: PROBE_TIMEOUT_MS,
      kind: "probe",
    });
    if (healthReport?.inFlight === undefined) {
      const kind = await this.#failureKind(server, failure);
      return { kind, ...statement };
    }
    const { inFlight, leaving } = healthReport;
    return { kind: "answered", inFlight, ms, leaving, ...statement };
  }

  /** Requests the speed of a server before a call is assigned to it. */
  async check(server: BackendServer): Promise<CheckResult> {
    const { ms, healthReport, failure, statement } = await this.#query(server, {
      timeoutMs: CHECK_TIMEOUT_MS,
      kind: "check",
    });
    if (!healthReport) {
      const kind = await this.#failureKind(server, failure);
      return { kind, failure, ...statement };
    }
    if (healthReport.shed) return { kind: "shed", ...statement };
    const { healthy, leaving, slowdown, inFlight } = healthReport;
    const load = { slowdown, inFlight, ms };
    return { kind: "answered", healthy, leaving, ...load, ...statement };
  }

  /** Whether the server is to blame, or the path to it. */
  async #failureKind(
    server: BackendServer,
    failure: CheckFailure,
  ): Promise<"failed" | "unreachable"> {
    if (failure === "malformed") return "failed";
    const fault = await this.#options.judge(server);
    return fault === "path" ? "unreachable" : "failed";
  }

  async #query(
    server: BackendServer,
    { timeoutMs, kind }: { timeoutMs: number; kind: "probe" | "check" },
  ): Promise<{
    ms: number;
    healthReport: HealthReport | undefined;
    /** Why there is no report. */
    failure: CheckFailure;
    statement: ServerStatement;
  }> {
    const { clock, metrics, client, protocol, service, onServerLeaving } =
      this.#options;
    const startedAt = clock.now();
    metrics.recordServerRequest(server.service, kind);
    const sentRequest = client.send(server, {
      method: "GET",
      path: protocol.healthCheckPath(service(server.service)),
      headers: ["host", `${server.address.host}:${server.address.port}`],
      body: EMPTY_BODY,
      connectTimeoutMs: timeoutMs,
      requestId: undefined,
    });
    let isLate = false;
    let isEnded = false;
    const giveUp = () => {
      // The connection may serve another request by now.
      if (isEnded) return;
      isLate = true;
      sentRequest.cancel();
    };
    const timer = setTimeout(() => afterPendingInput(giveUp), timeoutMs);
    const result = await sentRequest.result;
    isEnded = true;
    clearTimeout(timer);
    const elapsedMs = clock.now() - startedAt;
    metrics.recordProbe(server.service, elapsedMs);
    // What exceeds the timeout is a stall of this process, not time of the server.
    const ms = Math.min(elapsedMs, timeoutMs);
    const response = result.type === "answer" ? result.response : undefined;
    if (response) this.#options.onHeard(server);
    response?.stream?.destroy();
    const failure = failureOf(result, isLate);
    if (!response) {
      return { ms, healthReport: undefined, failure, statement: {} };
    }
    if (!response.body) {
      const statement = statementOf(response);
      return { ms, healthReport: undefined, failure, statement };
    }
    const parsed = protocol.parseHealthReport(response, server);
    const leaving = parsed?.leaving || response.leaving;
    const healthReport = parsed && { ...parsed, leaving };
    if (response.leaving && !parsed?.otherServer) onServerLeaving(server);
    if (parsed?.otherServer)
      return { ms, healthReport, failure, statement: {} };
    const statement = {
      ...statementOf(response),
      ...(parsed?.warmUpMs !== undefined && { warmUpMs: parsed.warmUpMs }),
    };
    return { ms, healthReport, failure, statement };
  }
}

/** How a request without a usable answer failed. */
function failureOf(result: RequestResult, isLate: boolean): CheckFailure {
  if (result.type === "answer") return "malformed";
  if (result.fault.type === "not_connected") {
    return isLate || /^no connection within/.test(result.fault.detail)
      ? "not_accepted"
      : "refused";
  }
  return isLate ? "no_answer" : "connection_lost";
}
