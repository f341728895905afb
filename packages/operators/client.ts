import { setTimeout as sleep } from "node:timers/promises";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import { type Address, type Clock, formatAddress, HEADERS } from "#model";
import { RETRYABLE_ERRORS } from "./errors.ts";
import { type Exchange, exchange, type RawAnswer } from "./exchange.ts";

/** Why the client has no answer that its user asked for. */
export type ClientFault =
  /** No control host gave a final answer in time. */
  | {
      readonly type: "no_answer";
      readonly attempts: readonly Attempt[];
      /** True if a change may have been applied all the same. */
      readonly mayBeDone: boolean;
    }
  /** A control host answered with an error. */
  | {
      readonly type: "refused";
      readonly status: number;
      readonly code: string;
      readonly message: string;
      readonly details: Readonly<Record<string, unknown>>;
    }
  /** Something else than a control host answered. */
  | { readonly type: "malformed_answer"; readonly address: string };

/** One failed attempt. */
export interface Attempt {
  readonly address: string;
  readonly reason: string;
}

export interface OperatorClientOptions {
  /** HTTP addresses of control hosts, tried in this order. */
  readonly control: readonly Address[];
  readonly credential: string;
  readonly clock: Clock;
  /** Time for all attempts together, in milliseconds. */
  readonly timeoutMs?: number;
  /** Time for one attempt, in milliseconds. */
  readonly attemptMs?: number;
}

const DEFAULT_TIMEOUT_MS = 20_000;
/** Longer than an election (1 to 2 s) and a change in force everywhere (4 s). */
const DEFAULT_ATTEMPT_MS = 6_000;
/** Pause between rounds over all hosts. */
const ROUND_PAUSE_MS = 250;

const ERROR_SCHEMA = z.object({
  error: z.looseObject({ code: z.string(), message: z.string() }),
});

/** Talks to the operators' interface of several control hosts. */
export class OperatorClient {
  readonly #options: OperatorClientOptions;

  constructor(options: OperatorClientOptions) {
    this.#options = options;
  }

  /** Reads below `/v1`; confirmed by a majority unless `stale`. */
  read(
    path: readonly string[],
    options: { readonly stale?: boolean } = {},
  ): Promise<Result<unknown, ClientFault>> {
    const query = options.stale ? "?stale=true" : "";
    const target = `${toPath(path)}${query}`;
    return this.#send({ method: "GET", path: target, headers: {} });
  }

  /** Replaces a section; each attempt carries the same change id. */
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

  /** Adds a control host to the members, or finds that it is one. */
  addMember(id: string, peer: Address): Promise<Result<unknown, ClientFault>> {
    const { host, port } = peer;
    return this.#send({
      method: "PUT",
      path: toPath(["members", id]),
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ host, port }),
    });
  }

  /** Removes a control host from the members, or finds that it is none. */
  removeMember(id: string): Promise<Result<unknown, ClientFault>> {
    const path = toPath(["members", id]);
    return this.#send({ method: "DELETE", path, headers: {} });
  }

  async #send(message: Exchange): Promise<Result<unknown, ClientFault>> {
    const { control, clock, credential } = this.#options;
    const { timeoutMs = DEFAULT_TIMEOUT_MS } = this.#options;
    const { attemptMs = DEFAULT_ATTEMPT_MS } = this.#options;
    const authorization = `Bearer ${credential}`;
    const headers = { ...message.headers, authorization };
    const deadline = clock.now() + timeoutMs;
    const attempts = new Map<string, Attempt>();
    let mayBeDone = false;
    for (let round = 0; ; round++) {
      if (round > 0) await sleep(ROUND_PAUSE_MS);
      for (const address of control) {
        const remaining = deadline - clock.now();
        if (remaining <= 0 || control.length === 0) break;
        const result = await exchange(
          address,
          { ...message, headers },
          { timeoutMs: Math.max(1, Math.min(remaining, attemptMs)) },
        );
        const answer = result.andThen((raw) => interpret(raw, address));
        if (answer.isOk()) return answer.value;
        // A lost answer says nothing about what was done.
        if (message.method !== "GET") mayBeDone ||= isOpen(answer.error);
        const reason = answer.error;
        const name = formatAddress(address);
        attempts.set(name, { address: name, reason });
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

/** Reasons that prove that nothing was done. */
const NOTHING_DONE = /^(no_quorum|closed):|ECONNREFUSED|ENOTFOUND/;

function isOpen(reason: string): boolean {
  return !NOTHING_DONE.test(reason);
}

function toPath(segments: readonly string[]): string {
  return `/v1/${segments.map(encodeURIComponent).join("/")}`;
}

/** A final answer, or the reason to try another host. */
function interpret(
  raw: RawAnswer,
  address: Address,
): Result<Result<unknown, ClientFault>, string> {
  const name = formatAddress(address);
  const body = parseJson(raw.text);
  if (raw.status === 200 && body !== undefined) return ok(ok(body));
  const parsed = ERROR_SCHEMA.safeParse(body);
  if (!parsed.success) {
    return ok(err({ type: "malformed_answer", address: name }));
  }
  const { code, message, ...details } = parsed.data.error;
  if (RETRYABLE_ERRORS.has(code)) return err(`${code}: ${message}`);
  const { status } = raw;
  return ok(err({ type: "refused", status, code, message, details }));
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
