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
  type ReachabilityMessages,
  type RelayTarget,
  RelayTargets,
} from "#reachability";
import type { Metrics } from "#telemetry";
import type { Network } from "#wire";
import type { BackendClient, SentRequest } from "./backend_client.ts";
import type { BackendResponse } from "./backend_response.ts";
import type { CallProtocol } from "./call_protocol.ts";
import { parseRelayOutcome, RELAY_HEADERS } from "./relay_protocol.ts";
import type { RequestBody } from "./request_body.ts";

/** Stands for a service in log lines and metrics of the client. */
const RELAY_SERVICE = "relay";
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

export interface CallRelayOptions {
  readonly self: HostId;
  readonly cluster: string;
  readonly dataCentre: DataCentre;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly network: Network<ReachabilityMessages>;
  readonly metrics: Metrics;
  readonly client: BackendClient;
  readonly protocol: CallProtocol;
  /** The configuration version in force. */
  readonly version: () => number;
}

/** A call that another entry should take over. */
export interface RelayedRequest {
  readonly call: Call;
  readonly request: IncomingMessage;
  readonly body: RequestBody;
}

/** An entry that was asked to take a call, for the log. */
export interface RelayRecord {
  readonly entry: HostId;
  readonly end: string;
  readonly ms: number;
}

export type RelayResult =
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
export class CallRelay {
  readonly #options: CallRelayOptions;
  readonly #targets: RelayTargets;

  constructor(options: CallRelayOptions) {
    this.#options = options;
    const { self, dataCentre, randomness: random, network } = options;
    this.#targets = new RelayTargets({ self, dataCentre, random });
    network.handle("reachability.cut_off", ({ services }, from) =>
      this.#targets.setCutOff(from.id, services),
    );
  }

  configure(view: View): void {
    this.#targets.configure(view);
  }

  /** To be called when the connection to an entry has ended. */
  peerDown(id: HostId): void {
    this.#targets.setCutOff(id, []);
  }

  /** Whether an entry has said that it reaches no server of some service. */
  isCutOff(id: HostId): boolean {
    return this.#targets.isCutOff(id);
  }

  /** Prepares to pass a call on. */
  attempt(relayed: RelayedRequest): RelayAttempt {
    return new RelayAttempt(this.#options, this.#targets, relayed);
  }
}

/** Passes one call on, to one entry after another until one takes it. */
export class RelayAttempt {
  readonly #options: CallRelayOptions;
  readonly #targets: RelayTargets;
  readonly #relayed: RelayedRequest;
  readonly #records: RelayRecord[] = [];
  #sent: SentRequest | undefined;
  #stopped = false;

  constructor(
    options: CallRelayOptions,
    targets: RelayTargets,
    relayed: RelayedRequest,
  ) {
    this.#options = options;
    this.#targets = targets;
    this.#relayed = relayed;
  }

  get records(): readonly RelayRecord[] {
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

  async run(): Promise<RelayResult> {
    const { service } = this.#relayed.call;
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
      if (this.#relayed.body.rest) break;
    }
    return { type: "not_taken" };
  }

  async #send(target: RelayTarget): Promise<RelayResult> {
    const { clock, client, protocol, metrics } = this.#options;
    const { call, request, body } = this.#relayed;
    const startedAt = clock.now();
    const callerRequestId = protocol.callerRequestId(request.headers);
    this.#targets.started(target.id);
    this.#sent = client.send(serverOf(target), {
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: this.#headers(startedAt),
      requestId: callerRequestId,
      logId: callerRequestId ?? call.id,
      body,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    });
    const result = await this.#sent.result;
    const response = result.type === "answer" ? result.response : undefined;
    const refusal = response?.headers[RELAY_HEADERS.refused];
    const end = (text: string) => {
      this.#sent = undefined;
      this.#targets.ended(target.id);
      const ms = Math.round(clock.now() - startedAt);
      this.#records.push({ entry: target.id, end: text, ms });
      metrics.recordRelay(text);
    };
    if (result.type === "fault") {
      const { type, detail } = result.fault;
      end(type);
      return type === "not_connected"
        ? { type: "not_taken" }
        : { type: "lost", detail };
    }
    if (refusal !== undefined) {
      end(`refused_${String(refusal)}`);
      return { type: "not_taken" };
    }
    const outcome = parseRelayOutcome(result.response.headers);
    if (result.response.stream) {
      result.response.stream.once("close", () => end(outcome));
    } else end(outcome);
    return { type: "answer", response: result.response, outcome };
  }

  #headers(now: number): string[] {
    const { self, cluster, protocol, version } = this.#options;
    const { call, request } = this.#relayed;
    const leftMs = Math.max(1, call.deadline - now - DEADLINE_MARGIN_MS);
    return [
      ...protocol.relayHeaders(request.rawHeaders, Math.floor(leftMs)),
      ...[RELAY_HEADERS.cluster, cluster],
      ...[RELAY_HEADERS.entry, self],
      ...[RELAY_HEADERS.call, call.id],
      ...[RELAY_HEADERS.version, String(version())],
    ];
  }
}

/** An entry in the form in which `BackendClient` sends to it. */
function serverOf(target: RelayTarget): BackendServer {
  const { id, relay, dataCentre, incarnation } = target;
  return {
    id,
    service: RELAY_SERVICE,
    address: relay,
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
