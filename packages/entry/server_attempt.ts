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
import type { AssignmentBasis, CallResultKind } from "#routing";
import type { Assignment } from "./assignments.ts";
import type { Attempt } from "./backend_client.ts";
import type { CallEngineOptions } from "./call_engine.ts";
import type { RequestBody } from "./request_body.ts";
import type { BackendAnswer, ClientEnd } from "./server_answer.ts";

const CONNECT_TIMEOUT_MS = 1_000;

/** Why an attempt is given up from outside. */
export type StopReason = "expired" | "caller_closed" | "outrun";

/** What is sent, the same in each attempt of a call. */
export interface AttemptWork {
  readonly call: Call;
  readonly request: IncomingMessage;
  readonly body: RequestBody;
  readonly fingerprint: Fingerprint | undefined;
}

export type ServerAttemptEnd =
  /** No server was tried. */
  | {
      readonly type: "rejected";
      readonly fault: CallFault;
      readonly waitedMs: number;
    }
  | {
      readonly type: "ended";
      readonly server: BackendServer;
      /** Until the server was chosen, in milliseconds. */
      readonly waitedMs: number;
      readonly basis: AssignmentBasis;
      readonly end: AttemptEnd;
      /** Present if the server answered. */
      readonly answer: BackendAnswer | undefined;
      /** From sending the request to its end, in milliseconds. */
      readonly runningMs: number;
      readonly detail: string;
    };

/** One attempt of a call: a server is chosen, asked, and let go. */
export class ServerAttempt {
  readonly #options: CallEngineOptions;
  readonly #work: AttemptWork;
  readonly #id: string;
  readonly #chain: CallChain;
  readonly #exclude: Set<string>;
  #sent: Attempt | undefined;
  #server: BackendServer | undefined;
  #stopped: StopReason | undefined;
  #stopWaiting: (() => void) | undefined;

  constructor(
    options: CallEngineOptions,
    attempt: {
      /** The call's id, or one of its own for a hedge. */
      id: string;
      work: AttemptWork;
      chain: CallChain;
      exclude: ReadonlySet<string>;
    },
  ) {
    this.#options = options;
    this.#work = attempt.work;
    this.#id = attempt.id;
    this.#chain = attempt.chain;
    this.#exclude = new Set(attempt.exclude);
  }

  /** The server that runs the call now. */
  get server(): BackendServer | undefined {
    return this.#server;
  }

  /** Ends the wait for a server, or cancels the request there. */
  stop(reason: StopReason): void {
    this.#stopped ??= reason;
    this.#stopWaiting?.();
    this.#sent?.cancel();
  }

  /** `sent` is called when a server has been chosen. */
  async run(sent: () => void): Promise<ServerAttemptEnd> {
    const { suspects, clock } = this.#options;
    const { fingerprint } = this.#work;
    const began = clock.now();
    const waitedMs = () => Math.round(clock.now() - began);
    const admitted = await this.#admit();
    if (admitted.isErr()) {
      if (fingerprint !== undefined) suspects.finished(this.#id, "ended");
      return {
        type: "rejected",
        fault: admitted.error,
        waitedMs: waitedMs(),
      };
    }
    const assigned = await this.#assign();
    if (assigned.isErr()) {
      if (fingerprint !== undefined) suspects.finished(this.#id, "ended");
      return { type: "rejected", fault: assigned.error, waitedMs: waitedMs() };
    }
    const { server, basis } = assigned.value;
    if (fingerprint !== undefined) suspects.started(this.#id, server);
    const chosen = { basis, waitedMs: waitedMs() };
    const ended = this.#send(server, chosen);
    sent();
    return ended;
  }

  /** Keeps a suspected request alone on a server, or refuses it. */
  async #admit(): Promise<Result<void, CallFault>> {
    const { fingerprint } = this.#work;
    if (fingerprint === undefined) return ok(undefined);
    const asked = this.#options.suspects.admit(fingerprint, this.#id);
    const admission =
      asked instanceof Promise
        ? await Promise.race([asked, this.#stopSignal()])
        : asked;
    if (admission === undefined) return err(callFault("deadline_expired"));
    if (admission.type === "run") return ok(undefined);
    if (admission.type !== "isolate") return err(admission.fault);
    const { service } = this.#work.call;
    const others = this.#options.serversToAvoid(service, admission.avoid);
    for (const id of others) this.#exclude.add(id);
    return ok(undefined);
  }

  #stopSignal(): Promise<undefined> {
    return new Promise((resolve) => {
      this.#stopWaiting = () => resolve(undefined);
    });
  }

  #assign(): Promise<Result<Assignment, CallFault>> {
    const { assignments, clock, metrics } = this.#options;
    const call = { ...this.#work.call, id: this.#id };
    const asked = clock.now();
    if (this.#stopped) {
      return Promise.resolve(err(callFault("deadline_expired")));
    }
    return new Promise((resolve) => {
      this.#stopWaiting = () => {
        assignments.cancel(call.id);
        resolve(err(callFault("deadline_expired")));
      };
      assignments.submit(call, this.#exclude, (decision) => {
        this.#stopWaiting = undefined;
        const ms = clock.now() - asked;
        metrics.recordWait({ service: call.service, class: call.class, ms });
        resolve(decision);
      });
    });
  }

  async #send(
    server: BackendServer,
    chosen: { basis: AssignmentBasis; waitedMs: number },
  ): Promise<ServerAttemptEnd> {
    const { client, clock, protocol, serverLeaving, suspects } = this.#options;
    const { request, body, fingerprint } = this.#work;
    const started = clock.now();
    this.#server = server;
    this.#sent = client.send(server, {
      method: request.method ?? "GET",
      path: request.url ?? "/",
      headers: protocol.serverHeaders(request.rawHeaders, {
        call: this.#work.call,
        chain: this.#chain,
        server,
        now: started,
      }),
      requestId: protocol.callerRequestId(request.headers),
      body,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    });
    const ended = await this.#sent.end;
    const answer = ended.type === "answer" ? ended.answer : undefined;
    const end = describeEnd(ended, this.#stopped);
    const runningMs = clock.now() - started;
    if (answer?.stream) {
      // A long answer keeps its slot until its last byte.
      answer.stream.once("close", () => this.#letGo(ended, started));
    } else {
      this.#letGo(ended, started);
    }
    if (answer?.leaving) serverLeaving(server);
    const lost = end.type === "reset" || end.type === "reset_in_body";
    if (fingerprint !== undefined) {
      const run = { fingerprint, startedAt: started };
      if (lost) await suspects.connectionLost(server, run);
      const answered = end.type === "answered" ? "answered" : "ended";
      suspects.finished(this.#id, answered);
    }
    const detail = ended.type === "fault" ? ended.fault.detail : "not started";
    return {
      type: "ended",
      server,
      ...chosen,
      end,
      answer,
      runningMs,
      detail,
    };
  }

  #letGo(ended: ClientEnd, started: number): void {
    const { assignments, clock } = this.#options;
    this.#sent = undefined;
    this.#server = undefined;
    const answer = ended.type === "answer" ? ended.answer : undefined;
    assignments.finish(this.#id, {
      kind: resultKind(ended, this.#stopped),
      serviceMs: clock.now() - started,
      inFlight: answer?.inFlight,
      slowdown: answer?.slowdown,
      leaving: answer?.leaving || answer?.wrongServer,
    });
  }
}

function describeEnd(
  ended: ClientEnd,
  stopped: StopReason | undefined,
): AttemptEnd {
  if (ended.type === "answer") {
    const { notStarted, wrongServer } = ended.answer;
    return { type: notStarted || wrongServer ? "not_started" : "answered" };
  }
  const written = ended.fault.type !== "not_connected";
  if (stopped === "expired") return { type: "timeout", written };
  if (stopped !== undefined) return { type: "cancelled", written };
  if (ended.fault.type === "answer_cut") {
    return { type: "reset_in_body", forwarded: false };
  }
  return written ? { type: "reset", written } : { type: "never_connected" };
}

function resultKind(
  ended: ClientEnd,
  stopped: StopReason | undefined,
): CallResultKind {
  if (ended.type === "answer") {
    const { notStarted, wrongServer } = ended.answer;
    if (notStarted || wrongServer) return "not_started";
    return ended.answer.status >= 500 ? "failed" : "answered";
  }
  if (stopped === "expired") return "expired";
  return stopped === undefined ? "lost" : "cancelled";
}
