import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { AttemptEnd, CallChain } from "#admission";
import {
  type BackendServer,
  type Call,
  type CallFault,
  callFault,
} from "#model";
import type { Fingerprint } from "#quarantine";
import type { Fault } from "#reachability";
import type { AssignmentBasis, CallResult } from "#routing";
import type { Assignment } from "./assignments.ts";
import { AttemptResources } from "./attempt_resources.ts";
import {
  type StopReason,
  statementOf,
  stopFault,
  toAttemptEnd,
  toResultKind,
} from "./attempt_result.ts";
import type { SentRequest } from "./backend_client.ts";
import type { BackendResponse, RequestResult } from "./backend_response.ts";
import type { CallEnvironment } from "./call_environment.ts";
import type { RequestBody } from "./request_body.ts";

const CONNECT_TIMEOUT_MS = 1_000;
/** Servers that answer free their connections in less. */
const NO_CONNECTION_RETRY_AFTER_MS = 1_000;

/** The result of a slot that no request used, or whose request goes on without it. */
const UNUSED_SLOT: CallResult = { kind: "cancelled", serviceMs: 0 };

/** The request that is sent in each attempt of a call. */
export interface AttemptInput {
  readonly call: Call;
  readonly request: IncomingMessage;
  readonly body: RequestBody;
  readonly fingerprint: Fingerprint | undefined;
}

export type ServerAttemptResult =
  /** No server was tried. */
  | {
      readonly type: "rejected";
      readonly fault: CallFault;
      readonly waitedMs: number;
    }
  | {
      readonly type: "ended";
      readonly server: BackendServer;
      /** Milliseconds until the server was chosen. */
      readonly waitedMs: number;
      readonly basis: AssignmentBasis;
      readonly end: AttemptEnd;
      /** Present if the server sent a response. */
      readonly response: BackendResponse | undefined;
      /** Milliseconds from sending the request to its end. */
      readonly runningMs: number;
      readonly detail: string;
    };

/**
 * One attempt of a call: chooses a server, sends the request, frees the slot.
 */
export class ServerAttempt {
  readonly #options: CallEnvironment;
  readonly #input: AttemptInput;
  readonly #id: string;
  readonly #chain: CallChain;
  readonly #triedServers: ReadonlySet<string>;
  readonly #excludedServers: Set<string>;
  /** Owns the place in the queue, the slot and the connection. */
  readonly #resources: AttemptResources;
  /** What to report of the server when its slot is freed. */
  #callResult: () => CallResult = () => UNUSED_SLOT;
  #server: BackendServer | undefined;
  #stopReason: StopReason | undefined;
  #stopWaiting: (() => void) | undefined;

  constructor(
    options: CallEnvironment,
    attempt: {
      /** The call's id in the first attempt, else an id derived from it. */
      id: string;
      input: AttemptInput;
      chain: CallChain;
      /** Ids of the servers to which the call has been sent. */
      tried: ReadonlySet<string>;
    },
  ) {
    this.#options = options;
    this.#input = attempt.input;
    this.#id = attempt.id;
    this.#chain = attempt.chain;
    const { service } = attempt.input.call;
    const unreached = options.paths.unreached(service);
    this.#triedServers = new Set(attempt.tried);
    this.#excludedServers = new Set([...attempt.tried, ...unreached]);
    const { protocol, resources } = options;
    const { call, request } = attempt.input;
    this.#resources = new AttemptResources(resources, {
      service,
      requestId: protocol.callerRequestId(request.headers) ?? call.id,
      deadline: call.deadline,
    });
  }

  /** The server that is processing the call. */
  get server(): BackendServer | undefined {
    return this.#server;
  }

  /** Stops waiting for a server, or cancels the request in progress. */
  stop(reason: StopReason): void {
    this.#stopReason ??= reason;
    this.#stopWaiting?.();
    this.#resources.giveBack("server_connection");
  }

  /**
   * Gives back all that the attempt still holds. To be called for each attempt whose
   * answer is not passed on, and for all once the call has ended.
   */
  release(): void {
    this.#resources.release();
    this.#callResult = () => UNUSED_SLOT;
  }

  /** Stops waiting for a server; a request that was sent goes on. */
  stopWaiting(reason: StopReason): void {
    if (!this.#server) this.stop(reason);
  }

  /** Runs the attempt; calls `onSent` when the request has been sent. */
  async run(onSent: () => void): Promise<ServerAttemptResult> {
    const { quarantine, clock } = this.#options;
    const { fingerprint } = this.#input;
    const startedAt = clock.now();
    const waitedMs = () => Math.round(clock.now() - startedAt);
    const admitted = await this.#applyQuarantine();
    if (admitted.isErr()) {
      if (fingerprint !== undefined) quarantine.finished(this.#id, "ended");
      return {
        type: "rejected",
        fault: admitted.error,
        waitedMs: waitedMs(),
      };
    }
    const assignment = await this.#assign();
    if (assignment.isErr()) {
      if (fingerprint !== undefined) quarantine.finished(this.#id, "ended");
      return {
        type: "rejected",
        fault: assignment.error,
        waitedMs: waitedMs(),
      };
    }
    const { server, basis } = assignment.value;
    const refused = this.#recheckAccess() ?? this.#checkConnections();
    if (refused) {
      if (fingerprint !== undefined) quarantine.finished(this.#id, "ended");
      this.release();
      return { type: "rejected", fault: refused, waitedMs: waitedMs() };
    }
    if (fingerprint !== undefined) quarantine.started(this.#id, server);
    const choice = { basis, waitedMs: waitedMs() };
    const result = this.#send(server, choice);
    onSent();
    return result;
  }

  /** The fault of a call whose key was removed while it waited. */
  #recheckAccess(): CallFault | undefined {
    const { access } = this.#input.call;
    const { keyAccess, clock } = this.#options;
    if (!access && !keyAccess.isRequired) return undefined;
    const now = { steady: clock.now(), wall: clock.wallTime() };
    const decision = keyAccess.recheck(access, now);
    return decision.isErr() ? decision.error : undefined;
  }

  /** The fault of a call for which this entry has no connection to a server. */
  #checkConnections(): CallFault | undefined {
    const { service } = this.#input.call;
    if (this.#options.client.hasRoom(service)) return undefined;
    return callFault("queue_full", {
      retryAfterMs: NO_CONNECTION_RETRY_AFTER_MS,
      detail: "the entry has no connection to a server left",
    });
  }

  /** Isolates a suspected request on a server of its own, or rejects it. */
  async #applyQuarantine(): Promise<Result<void, CallFault>> {
    const { fingerprint } = this.#input;
    if (fingerprint === undefined) return ok(undefined);
    const decision = this.#options.quarantine.admit(fingerprint, this.#id);
    const admission =
      decision instanceof Promise
        ? await Promise.race([decision, this.#stopSignal()])
        : decision;
    if (admission === undefined) return err(stopFault(this.#stopReason));
    if (admission.type === "run") return ok(undefined);
    if (admission.type !== "isolate") return err(admission.fault);
    const { service } = this.#input.call;
    const others = this.#options.serversToAvoid(service, admission.avoid);
    for (const id of others) this.#excludedServers.add(id);
    return ok(undefined);
  }

  #stopSignal(): Promise<undefined> {
    return new Promise((resolve) => {
      this.#stopWaiting = () => resolve(undefined);
    });
  }

  #assign(): Promise<Result<Assignment, CallFault>> {
    const { assignments, clock, metrics } = this.#options;
    const call = { ...this.#input.call, id: this.#id };
    const submittedAt = clock.now();
    if (this.#stopReason) {
      return Promise.resolve(err(stopFault(this.#stopReason)));
    }
    return new Promise((resolve) => {
      this.#stopWaiting = () => {
        this.#resources.giveBack("queue_place");
        resolve(err(stopFault(this.#stopReason)));
      };
      this.#resources.take("queue_place", () => assignments.cancel(call.id));
      assignments.submit(call, this.#excludedServers, (decision) => {
        this.#stopWaiting = undefined;
        this.#resources.end("queue_place");
        if (decision.isOk())
          this.#resources.take("server_slot", () =>
            assignments.finish(call.id, this.#callResult()),
          );
        const ms = clock.now() - submittedAt;
        metrics.recordWait({ service: call.service, class: call.class, ms });
        resolve(decision);
      });
    });
  }

  async #send(
    server: BackendServer,
    choice: { basis: AssignmentBasis; waitedMs: number },
  ): Promise<ServerAttemptResult> {
    const { client, clock, protocol, onServerLeaving, quarantine } =
      this.#options;
    const { request, body, fingerprint } = this.#input;
    const startedAt = clock.now();
    const callerRequestId = protocol.callerRequestId(request.headers);
    this.#options.metrics.recordServerRequest(server.service, "call");
    this.#server = server;
    // The connection of a whole response may serve another request by now.
    let isWhole = false;
    let sentRequest: SentRequest | undefined;
    this.#resources.take("server_connection", () => {
      if (!isWhole) sentRequest?.cancel();
    });
    sentRequest = client.send(server, {
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: protocol.serverHeaders(request.rawHeaders, {
        call: this.#input.call,
        chain: this.#chain,
        server,
        now: startedAt,
      }),
      requestId: callerRequestId,
      logId: callerRequestId ?? this.#input.call.id,
      body,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      // A server may write an earlier answer once more where the next one is due,
      // and that of an earlier attempt names this call.
      needsNewConnection: this.#triedServers.has(server.id),
      onClosed: () => this.#resources.end("server_connection"),
    });
    const result = await sentRequest.result;
    isWhole = result.type === "answer" && !result.response.stream;
    const response = result.type === "answer" ? result.response : undefined;
    const fault = await this.#judge(server, result);
    const end = toAttemptEnd(result, this.#stopReason);
    const runningMs = clock.now() - startedAt;
    this.#callResult = () => this.#resultOf(result, { startedAt, fault });
    const endRequest = () => {
      this.#server = undefined;
      this.#resources.giveBack("server_slot");
      // It would keep the body of the response as long as the call lasts.
      this.#callResult = () => UNUSED_SLOT;
    };
    // A streamed response occupies the slot until its last byte.
    if (response?.stream && !response.stream.destroyed)
      response.stream.once("close", endRequest);
    else endRequest();
    if (response?.leaving && !response.wrongServer) onServerLeaving(server);
    // A server that sends more than it may has not crashed.
    const lost =
      (end.type === "reset" || end.type === "reset_in_body") &&
      !(result.type === "fault" && result.fault.type === "bound_exceeded");
    if (fingerprint !== undefined) {
      const run = { fingerprint, startedAt };
      if (lost) await quarantine.connectionLost(server, run);
      const runEnd = end.type === "answered" ? "answered" : "ended";
      quarantine.finished(this.#id, runEnd);
    }
    const detail =
      result.type === "fault" ? result.fault.detail : "not started";
    return {
      type: "ended",
      server,
      ...choice,
      end,
      response,
      runningMs,
      detail,
    };
  }

  /** Finds out whose fault it is that a request got no answer. */
  async #judge(server: BackendServer, result: RequestResult): Promise<Fault> {
    const { paths } = this.#options;
    if (result.type === "answer") {
      paths.heard(server);
      return "server";
    }
    const { type } = result.fault;
    const isConnection = type === "not_connected" || type === "connection_lost";
    if (!isConnection || this.#stopReason !== undefined) return "server";
    return paths.judge(server);
  }

  /**
   * Frees the slot of a request whose answer may still come, without evidence
   * on its server: other entries can use the slot.
   */
  releaseEarly(): void {
    if (this.#server) this.#resources.giveBack("server_slot");
  }

  #resultOf(
    result: RequestResult,
    { startedAt, fault }: { startedAt: number; fault: Fault },
  ): CallResult {
    const response = result.type === "answer" ? result.response : undefined;
    return {
      kind: toResultKind(result, { stopReason: this.#stopReason, fault }),
      serviceMs: this.#options.clock.now() - startedAt,
      inFlight: response?.inFlight,
      slowdown: response?.slowdown,
      leaving: response?.leaving || response?.wrongServer,
      ...(response && !response.wrongServer && statementOf(response)),
    };
  }
}
