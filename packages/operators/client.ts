import { setTimeout as sleep } from "node:timers/promises";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import { type Address, type Clock, formatAddress, HEADERS } from "#model";
import { RETRYABLE_ERRORS } from "./errors.ts";
import {
  type HttpRequest,
  type HttpResponse,
  sendHttpRequest,
} from "./http_request.ts";

/** Why a request of the client failed. */
export type ClientFault =
  /** No control host gave a final response in time. */
  | {
      readonly type: "no_answer";
      readonly attempts: readonly Attempt[];
      /** Whether a change may have been applied nevertheless. */
      readonly mayBeDone: boolean;
    }
  /** A control host responded with an error. */
  | {
      readonly type: "refused";
      readonly status: number;
      readonly code: string;
      readonly message: string;
      readonly details: Readonly<Record<string, unknown>>;
    }
  /** The response is not one of a control host. */
  | { readonly type: "malformed_answer"; readonly address: string };

/** The last failed attempt at a control host. */
export interface Attempt {
  readonly address: string;
  readonly reason: string;
}

export interface OperatorClientOptions {
  /** HTTP addresses of control hosts, tried in this order. */
  readonly control: readonly Address[];
  readonly credential: string;
  readonly clock: Clock;
  /** Total time for all attempts, in milliseconds. */
  readonly timeoutMs?: number;
  /** Longest time for one attempt, in milliseconds. */
  readonly attemptMs?: number;
}

const DEFAULT_TIMEOUT_MS = 20_000;
/** Longer than an election (1 to 2 s) and a change to all entries (4 s). */
const DEFAULT_ATTEMPT_TIMEOUT_MS = 6_000;
/** Pause before all control hosts are tried again. */
const ROUND_DELAY_MS = 250;

const ERROR_SCHEMA = z.object({
  error: z.looseObject({ code: z.string(), message: z.string() }),
});

/** Client of the operators' API, which tries several control hosts. */
export class OperatorClient {
  readonly #options: OperatorClientOptions;

  constructor(options: OperatorClientOptions) {
    this.#options = options;
  }

  /** Reads a path under `/v1`; confirmed by a quorum unless `stale`. */
  read(
    path: readonly string[],
    options: { readonly stale?: boolean } = {},
  ): Promise<Result<unknown, ClientFault>> {
    const query = options.stale ? "?stale=true" : "";
    const target = `${toPath(path)}${query}`;
    return this.#send({ method: "GET", path: target, headers: {} });
  }

  /** Replaces a section; all attempts have the same change id. */
  put(
    section: string,
    change: {
      readonly text: string;
      readonly revision: number;
      readonly changeId: string;
    },
  ): Promise<Result<unknown, ClientFault>> {
    return this.#send({
      method: "PUT",
      path: toPath(["sections", section]),
      headers: {
        "if-match": String(change.revision),
        [HEADERS.changeId]: change.changeId,
        "content-type": "application/yaml",
      },
      body: change.text,
    });
  }

  /** Adds a control host to the members; succeeds if it is one already. */
  addMember(id: string, peer: Address): Promise<Result<unknown, ClientFault>> {
    const { host, port } = peer;
    return this.#send({
      method: "PUT",
      path: toPath(["members", id]),
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ host, port }),
    });
  }

  /** Removes a control host from the members; succeeds if it is not one. */
  removeMember(id: string): Promise<Result<unknown, ClientFault>> {
    const path = toPath(["members", id]);
    return this.#send({ method: "DELETE", path, headers: {} });
  }

  async #send(request: HttpRequest): Promise<Result<unknown, ClientFault>> {
    const { control, clock, credential } = this.#options;
    const { timeoutMs = DEFAULT_TIMEOUT_MS } = this.#options;
    const { attemptMs = DEFAULT_ATTEMPT_TIMEOUT_MS } = this.#options;
    const authorization = `Bearer ${credential}`;
    const headers = { ...request.headers, authorization };
    const deadline = clock.now() + timeoutMs;
    const attempts = new Map<string, Attempt>();
    let mayBeDone = false;
    for (let round = 0; ; round++) {
      if (round > 0) await sleep(ROUND_DELAY_MS);
      for (const address of control) {
        const remainingMs = deadline - clock.now();
        if (remainingMs <= 0 || control.length === 0) break;
        const result = await sendHttpRequest(
          address,
          { ...request, headers },
          { timeoutMs: Math.max(1, Math.min(remainingMs, attemptMs)) },
        );
        const answer = result.andThen((response) =>
          decodeResponse(response, address),
        );
        if (answer.isOk()) return answer.value;
        // After a lost response, the change may have been applied.
        if (request.method !== "GET")
          mayBeDone ||= mayHaveChanged(answer.error);
        const reason = answer.error;
        const addressText = formatAddress(address);
        attempts.set(addressText, { address: addressText, reason });
      }
      if (clock.now() >= deadline || control.length === 0) break;
    }
    return err({
      type: "no_answer",
      attempts: [...attempts.values()],
      mayBeDone,
    });
  }
}

/** Failure reasons that guarantee that nothing was done. */
const NOTHING_DONE_REASON = /^(no_quorum|closed):|ECONNREFUSED|ENOTFOUND/;

function mayHaveChanged(reason: string): boolean {
  return !NOTHING_DONE_REASON.test(reason);
}

function toPath(segments: readonly string[]): string {
  return `/v1/${segments.map(encodeURIComponent).join("/")}`;
}

/** Decodes a response to a final result, or a reason to try another host. */
function decodeResponse(
  response: HttpResponse,
  address: Address,
): Result<Result<unknown, ClientFault>, string> {
  const addressText = formatAddress(address);
  const body = parseJson(response.text);
  if (response.status === 200 && body !== undefined) return ok(ok(body));
  const parsed = ERROR_SCHEMA.safeParse(body);
  if (!parsed.success) {
    return ok(err({ type: "malformed_answer", address: addressText }));
  }
  const { code, message, ...details } = parsed.data.error;
  if (RETRYABLE_ERRORS.has(code)) return err(`${code}: ${message}`);
  const { status } = response;
  return ok(err({ type: "refused", status, code, message, details }));
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
