import type { BackendServer, Clock, Service } from "#model";
import type { CheckResult, ProbeResult } from "#routing";
import type { Metrics } from "#telemetry";
import type { BackendClient } from "./backend_client.ts";
import type { CallProtocol, ServerStatement } from "./call_protocol.ts";

/** A probe that takes longer counts as failed. */
const PROBE_TIMEOUT_MS = 1_000;
/** A call waits for a check, so that one that takes longer counts as failed. */
const CHECK_TIMEOUT_MS = 100;

export interface ProberOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly client: BackendClient;
  readonly protocol: CallProtocol;
  readonly service: (name: string) => Service | undefined;
}

/** Asks backend servers how they are; each question takes a slot there. */
export class Prober {
  readonly #options: ProberOptions;

  constructor(options: ProberOptions) {
    this.#options = options;
  }

  /** Asks a quiet server for its load. */
  async probe(server: BackendServer): Promise<ProbeResult> {
    const { ms, statement } = await this.#ask(server, PROBE_TIMEOUT_MS);
    if (statement?.inFlight === undefined) return { kind: "failed" };
    const { inFlight, leaving } = statement;
    return { kind: "answered", inFlight, ms, leaving };
  }

  /** Asks a server for its speed before a call goes there. */
  async check(server: BackendServer): Promise<CheckResult> {
    const { ms, statement } = await this.#ask(server, CHECK_TIMEOUT_MS);
    if (!statement) return { kind: "failed" };
    if (statement.shed) return { kind: "shed" };
    const { healthy, leaving, slowdown, inFlight } = statement;
    return { kind: "answered", healthy, leaving, slowdown, inFlight, ms };
  }

  async #ask(
    server: BackendServer,
    timeoutMs: number,
  ): Promise<{ ms: number; statement: ServerStatement | undefined }> {
    const { clock, metrics, client, protocol, service } = this.#options;
    const started = clock.now();
    const asked = client.send(server, {
      method: "GET",
      path: protocol.statementPath(service(server.service)),
      headers: ["host", `${server.address.host}:${server.address.port}`],
      body: { head: Buffer.alloc(0), rest: undefined },
      connectTimeoutMs: timeoutMs,
      requestId: undefined,
    });
    const timer = setTimeout(() => asked.cancel(), timeoutMs);
    const ended = await asked.end;
    clearTimeout(timer);
    const ms = clock.now() - started;
    metrics.recordProbe(server.service, ms);
    const answer = ended.type === "answer" ? ended.answer : undefined;
    answer?.stream?.destroy();
    if (!answer?.body) return { ms, statement: undefined };
    return { ms, statement: protocol.statement(answer, server) };
  }
}
