import type { IncomingMessage } from "node:http";
import type {
  BackendServer,
  Call,
  Clock,
  DataCentre,
  HostId,
  Outcome,
  Randomness,
  View,
} from "#model";
import {
  type HandoverTarget,
  HandoverTargets,
  type ReachabilityMessages,
} from "#reachability";
import type { Metrics } from "#telemetry";
import type { Network } from "#wire";
import type { BackendClient, SentRequest } from "./backend_client.ts";
import type { BackendResponse } from "./backend_response.ts";
import type { CallProtocol } from "./call_protocol.ts";
import { HANDOVER_HEADERS, parseHandoverOutcome } from "./handover_protocol.ts";
import type { HeldResources } from "./held_resources.ts";
import type { RequestBody } from "./request_body.ts";

/** Stands for a service in log lines and metrics of the client. */
const HANDOVER_SERVICE = "handover";
const CONNECT_TIMEOUT_MS = 250;
/** Entries that are asked to take a call at most. */
const MAX_ENTRIES = 6;
/** Idle connections that are kept to another entry. */
const IDLE_CONNECTIONS = 16;
/**
 * Time by which the other entry gives up earlier, so that its answer, which
 * says whether the call ran, still arrives.
 */
const DEADLINE_MARGIN_MS = 20;

export interface HandoverClientOptions {
  readonly self: HostId;
  readonly cluster: string;
  readonly dataCentre: DataCentre;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly network: Network<ReachabilityMessages>;
  readonly metrics: Metrics;
  readonly client: BackendClient;
  readonly resources: HeldResources;
  readonly protocol: CallProtocol;
  /** The configuration version in force. */
  readonly version: () => number;
}

/** A call that another entry should take over. */
export interface HandedOverRequest {
  readonly call: Call;
  readonly request: IncomingMessage;
  readonly body: RequestBody;
}

/** An entry that was asked to take a call, for the log. */
export interface HandoverRecord {
  readonly entry: HostId;
  readonly end: string;
  readonly ms: number;
}

export type HandoverResult =
  | {
      readonly type: "answer";
      readonly response: BackendResponse;
      readonly outcome: Outcome;
    }
  /** No entry has taken the call; it has not run. */
  | { readonly type: "not_taken" }
  /** The connection broke after the call was sent; it may have run. */
  | { readonly type: "lost"; readonly detail: string };

/** Passes calls on to entries that reach the servers. */
export class HandoverClient {
  readonly #options: HandoverClientOptions;
  readonly #targets: HandoverTargets;

  constructor(options: HandoverClientOptions) {
    this.#options = options;
    const { self, dataCentre, randomness: random, network } = options;
    this.#targets = new HandoverTargets({ self, dataCentre, random });
    network.handle("reachability.cut_off", ({ services }, from) =>
      this.setCutOff(from.id, services),
    );
  }

  configure(view: View): void {
    this.#targets.configure(view);
  }

  /** Records the services of which an entry, or this one, reaches no server. */
  setCutOff(id: HostId, services: readonly string[]): void {
    this.#targets.setCutOff(id, services, this.#options.clock.now());
  }

  /** To be called when the connection to an entry has ended. */
  peerDown(id: HostId): void {
    this.setCutOff(id, []);
  }

  /** Entries that have reached no server of some service for a while. */
  lastingCuts(): ReadonlySet<HostId> {
    return this.#targets.lastingCuts(this.#options.clock.now());
  }

  /** Prepares to pass a call on. */
  attempt(handedOver: HandedOverRequest): HandoverAttempt {
    return new HandoverAttempt(this.#options, this.#targets, handedOver);
  }
}

/** Passes one call on, to one entry after another until one takes it. */
export class HandoverAttempt {
  readonly #options: HandoverClientOptions;
  readonly #targets: HandoverTargets;
  readonly #handedOver: HandedOverRequest;
  readonly #records: HandoverRecord[] = [];
  #sent: SentRequest | undefined;
  #stopped = false;

  constructor(
    options: HandoverClientOptions,
    targets: HandoverTargets,
    handedOver: HandedOverRequest,
  ) {
    this.#options = options;
    this.#targets = targets;
    this.#handedOver = handedOver;
  }

  get records(): readonly HandoverRecord[] {
    return this.#records;
  }

  /** Whether an entry has the call. */
  get isRunning(): boolean {
    return this.#sent !== undefined;
  }

  /** Cancels the call at the entry that has it. */
  stop(): void {
    this.#stopped = true;
    this.#sent?.cancel();
  }

  async run(): Promise<HandoverResult> {
    const { service } = this.#handedOver.call;
    const tried = new Set<HostId>();
    while (tried.size < MAX_ENTRIES && !this.#stopped) {
      const now = this.#options.clock.now();
      const target = this.#targets.choose(service, { tried, now });
      if (!target) break;
      tried.add(target.id);
      const result = await this.#send(target);
      if (result.type !== "not_taken") return result;
      this.#targets.refused(service, target.id, this.#options.clock.now());
      // What was read of a streamed body is gone.
      if (this.#handedOver.body.rest) break;
    }
    return { type: "not_taken" };
  }

  async #send(target: HandoverTarget): Promise<HandoverResult> {
    const { clock, client, protocol, metrics } = this.#options;
    const { call, request, body } = this.#handedOver;
    const startedAt = clock.now();
    const callerRequestId = protocol.callerRequestId(request.headers);
    this.#targets.started(target.id);
    const { resources } = this.#options;
    const recordEnd = resources.take("handover_connection", {
      service: call.service,
      requestId: callerRequestId ?? call.id,
      deadline: call.deadline,
    });
    this.#sent = client.send(serverOf(target), {
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: this.#headers(startedAt),
      requestId: callerRequestId,
      logId: callerRequestId ?? call.id,
      body,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      onClosed: recordEnd,
    });
    const result = await this.#sent.result;
    const response = result.type === "answer" ? result.response : undefined;
    const refusal = response?.headers[HANDOVER_HEADERS.refused];
    const end = (text: string) => {
      this.#sent = undefined;
      this.#targets.ended(target.id);
      const ms = Math.round(clock.now() - startedAt);
      this.#records.push({ entry: target.id, end: text, ms });
      metrics.recordHandover(text);
    };
    if (result.type === "fault") {
      const { type, detail } = result.fault;
      end(type);
      return type === "not_connected"
        ? { type: "not_taken" }
        : { type: "lost", detail };
    }
    if (refusal !== undefined) {
      // Nobody reads a refusal whose body is too long to be held.
      result.response.stream?.destroy();
      end(`refused_${String(refusal)}`);
      return { type: "not_taken" };
    }
    const outcome = parseHandoverOutcome(result.response.headers);
    if (result.response.stream) {
      result.response.stream.once("close", () => end(outcome));
    } else end(outcome);
    return { type: "answer", response: result.response, outcome };
  }

  #headers(now: number): string[] {
    const { self, cluster, protocol, version } = this.#options;
    const { call, request } = this.#handedOver;
    const leftMs = Math.max(1, call.deadline - now - DEADLINE_MARGIN_MS);
    return [
      ...protocol.handoverHeaders(request.rawHeaders, Math.floor(leftMs)),
      ...[HANDOVER_HEADERS.cluster, cluster],
      ...[HANDOVER_HEADERS.entry, self],
      ...[HANDOVER_HEADERS.call, call.id],
      ...[HANDOVER_HEADERS.version, String(version())],
    ];
  }
}

/** An entry in the form in which `BackendClient` sends to it. */
function serverOf(target: HandoverTarget): BackendServer {
  const { id, handover, dataCentre, incarnation } = target;
  return {
    id,
    service: HANDOVER_SERVICE,
    address: handover,
    dataCentre,
    incarnation,
    sequence: 0,
    state: "ready",
    slots: IDLE_CONNECTIONS,
    connections: IDLE_CONNECTIONS,
    inFlight: 0,
    startedMsAgo: 0,
  };
}
