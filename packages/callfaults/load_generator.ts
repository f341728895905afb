import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { v7 as uuidv7 } from "uuid";
import { type Address, HEADERS, SeededRandomness } from "#model";
import { exchange } from "../demo/caller.ts";

/** One attempt of a call: the request that was sent and its response. */
export interface Attempt {
  readonly path: string;
  readonly key: string | undefined;
  readonly outcome: "answered" | "not-run" | "unknown" | "no-answer";
  readonly status: number;
  readonly code: string | undefined;
  readonly requestId: string | undefined;
  /** Value of `Retry-After`, in seconds. */
  readonly retryAfter: string | undefined;
  readonly retryAfterMs: number | undefined;
  readonly body: string;
  /** Wall-clock time of the response, in milliseconds. */
  readonly at: number;
}

/** A finished call with all its attempts; the last one is its final outcome. */
export interface CallRecord {
  readonly service: string;
  readonly attempts: readonly Attempt[];
}

/** A call to make. */
export interface CallRequest {
  readonly service: string;
  readonly path: string;
  /** Idempotency key; present for a booking, absent for a lookup. */
  readonly key?: string | undefined;
  readonly headers?: Readonly<Record<string, string>>;
}

/**
 * How long a caller retries. A key of which two holders were lost is refused
 * for 33 s (design 6.3), so a booking may take that long.
 */
const RETRY_FOR_MS = 50_000;
/**
 * Delay before the first retry if the response names none. Doubles with each
 * retry: callers that all retry at this rate through an outage take more
 * processor time than the processes under test.
 */
const FIRST_RETRY_DELAY_MS = 150;
const LAST_RETRY_DELAY_MS = 1_200;
/** Delay after a failed lookup of entries before the next one. */
const LOOKUP_RETRY_DELAY_MS = 150;
const CALLER_COUNT = 8;
/**
 * Limit of calls without a final outcome, 4 s of load. Without it, calls pile
 * up through an outage until their retries, and the relays in the same process,
 * no longer get the processor time to end it.
 */
export const MAX_UNFINISHED_CALLS = 600;
/** Delay before looking again whether a call has finished. */
const UNFINISHED_CHECK_MS = 20;

const activeGenerators = new Set<LoadGenerator>();

/**
 * Aborts the generators that a failed test left running; they keep Node alive.
 */
export function abortLoadGenerators(): void {
  for (const load of activeGenerators) load.abort();
}

/** Sends one request to one entry, without retries. */
export async function sendOnce(
  entry: Address,
  request: CallRequest,
  agent?: Agent,
): Promise<Attempt> {
  const { service, path, key, headers = {} } = request;
  const requestFields = { path, key };
  try {
    const response = await exchange({
      host: entry.host,
      port: entry.port,
      agent: agent ?? new Agent(),
      method: key === undefined ? "GET" : "POST",
      path,
      headers: {
        ...headers,
        [HEADERS.service]: service,
        ...(key !== undefined && { [HEADERS.key]: key }),
      },
      ...(key !== undefined && { body: JSON.stringify({ key }) }),
    });
    const header = (name: string) =>
      response.headers[name] as string | undefined;
    const retryAfterMs = header(HEADERS.retryAfterMs);
    return {
      ...requestFields,
      outcome: (header(HEADERS.outcome) ?? "unknown") as Attempt["outcome"],
      status: response.status,
      code: header(HEADERS.error),
      requestId: header(HEADERS.requestId),
      retryAfter: header(HEADERS.retryAfter),
      retryAfterMs:
        retryAfterMs === undefined ? undefined : Number(retryAfterMs),
      body: response.body,
      at: Date.now(),
    };
  } catch {
    return {
      ...requestFields,
      outcome: "no-answer",
      status: 0,
      code: undefined,
      requestId: undefined,
      retryAfter: undefined,
      retryAfterMs: undefined,
      body: "",
      at: Date.now(),
    };
  }
}

/** Entry addresses from a lookup, with the monotonic time of their expiry. */
interface CachedAddresses {
  readonly until: number;
  readonly list: readonly (Address & { readonly weight: number })[];
}

/** A caller that looks up entries and retries with the same idempotency key. */
class RetryingCaller {
  readonly #seeds: readonly Address[];
  readonly #random: SeededRandomness;
  readonly #retryForMs: number;
  readonly #agent = new Agent({ keepAlive: true });
  #closed = false;
  #cachedAddresses: CachedAddresses | undefined;
  /** The lookup that runs; calls of this caller share it. */
  #lookup: Promise<void> | undefined;
  #nextLookupAt = 0;

  constructor(options: {
    seeds: readonly Address[];
    seed: number;
    retryForMs: number;
  }) {
    this.#seeds = options.seeds;
    this.#random = new SeededRandomness(options.seed);
    this.#retryForMs = options.retryForMs;
  }

  async call(request: CallRequest): Promise<CallRecord> {
    const attempts: Attempt[] = [];
    const retryUntil = performance.now() + this.#retryForMs;
    let failedEntry: Address | undefined;
    let delayMs = FIRST_RETRY_DELAY_MS;
    for (;;) {
      const entry = await this.#chooseEntry(request.service, failedEntry);
      const attempt = await sendOnce(entry, request, this.#agent);
      attempts.push(attempt);
      const timedOut = performance.now() > retryUntil;
      if (timedOut || this.#closed || !shouldRetry(attempt)) {
        return { service: request.service, attempts };
      }
      failedEntry = attempt.outcome === "no-answer" ? entry : undefined;
      await sleep(attempt.retryAfterMs ?? delayMs);
      delayMs = Math.min(2 * delayMs, LAST_RETRY_DELAY_MS);
    }
  }

  close(): void {
    this.#closed = true;
    this.#agent.destroy();
  }

  async #chooseEntry(
    service: string,
    failedEntry: Address | undefined,
  ): Promise<Address> {
    const now = performance.now();
    const expired = !this.#cachedAddresses || this.#cachedAddresses.until < now;
    if (expired && now >= this.#nextLookupAt) {
      this.#lookup ??= this.#refreshAddresses(service).finally(() => {
        this.#lookup = undefined;
        this.#nextLookupAt = performance.now() + LOOKUP_RETRY_DELAY_MS;
      });
      await this.#lookup;
    }
    const all = this.#cachedAddresses?.list ?? [];
    const reachable = all.filter(({ port }) => port !== failedEntry?.port);
    const weighted = reachable.filter(({ weight }) => weight > 0);
    const list = weighted.length > 0 ? weighted : reachable;
    const total = list.reduce((sum, { weight }) => sum + weight, 0);
    let point = this.#random.next() * total;
    for (const entry of list) {
      point -= entry.weight;
      if (point < 0) return entry;
    }
    return list[0] ?? this.#randomSeed();
  }

  async #refreshAddresses(service: string): Promise<void> {
    const { host, port } = this.#randomSeed();
    const url = `http://${host}:${port}/.mangobank/addresses?service=${service}`;
    try {
      const signal = AbortSignal.timeout(1_000);
      const response = await fetch(url, { signal });
      if (!response.ok) return;
      const { addresses, keep_ms } = (await response.json()) as {
        addresses: CachedAddresses["list"];
        keep_ms: number;
      };
      this.#cachedAddresses = {
        until: performance.now() + keep_ms,
        list: addresses,
      };
    } catch {
      // The entry didn't answer; the next call asks a randomly chosen seed.
    }
  }

  #randomSeed(): Address {
    const index = this.#random.below(this.#seeds.length);
    return this.#seeds[index] ?? { host: "127.0.0.1", port: 0 };
  }
}

/** Error codes after which a request may be retried with the same key. */
const RETRYABLE_CODES: ReadonlySet<string> = new Set([
  "already_running",
  "claim_unavailable",
  "not_ready",
]);

function shouldRetry({ outcome, code }: Attempt): boolean {
  if (outcome === "no-answer" || outcome === "not-run") return true;
  return code !== undefined && RETRYABLE_CODES.has(code);
}

/** Sends calls at a steady rate from several callers; a third are bookings. */
export class LoadGenerator {
  readonly calls: CallRecord[] = [];
  /** Number of calls started. */
  sent = 0;
  readonly #service: string;
  readonly #rate: number;
  readonly #callers: readonly RetryingCaller[];
  readonly #pending = new Set<Promise<void>>();
  readonly #sendingDone: Promise<void>;
  #stopped = false;

  constructor(options: {
    service: string;
    seeds: readonly Address[];
    /** Calls a second. */
    rate?: number;
    /** How long a caller retries; `RETRY_FOR_MS` if absent. */
    retryForMs?: number;
  }) {
    this.#service = options.service;
    this.#rate = options.rate ?? 150;
    this.#callers = Array.from(
      { length: CALLER_COUNT },
      (_, index) =>
        new RetryingCaller({
          seeds: options.seeds,
          seed: index + 1,
          retryForMs: options.retryForMs ?? RETRY_FOR_MS,
        }),
    );
    activeGenerators.add(this);
    this.#sendingDone = this.#run();
  }

  /** Stops at once without waiting for pending calls. */
  abort(): void {
    this.#stopped = true;
    activeGenerators.delete(this);
    for (const caller of this.#callers) caller.close();
  }

  /** Stops sending and waits for the final outcome of every call. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#sendingDone;
    await Promise.all(this.#pending);
    this.abort();
  }

  /** Resolves when this many more calls have had their final outcome. */
  async waitForCompleted(count: number): Promise<void> {
    const target = this.calls.length + count;
    while (this.calls.length < target && activeGenerators.has(this))
      await sleep(20);
  }

  async #run(): Promise<void> {
    let dueAt = performance.now();
    while (!this.#stopped) {
      if (this.#pending.size >= MAX_UNFINISHED_CALLS) {
        await sleep(UNFINISHED_CHECK_MS);
        dueAt = performance.now();
        continue;
      }
      const delayMs = dueAt - performance.now();
      if (delayMs > 0) await sleep(delayMs);
      dueAt += 1_000 / this.#rate;
      const caller = this.#callers[this.sent % CALLER_COUNT];
      const number = this.sent++;
      const request =
        number % 3 === 0
          ? { path: `/bookings/${number}`, key: uuidv7() }
          : { path: `/timesheets/${number}` };
      const pendingCall = caller
        ?.call({ service: this.#service, ...request })
        .then((call) => void this.calls.push(call));
      if (!pendingCall) continue;
      this.#pending.add(pendingCall);
      void pendingCall.finally(() => this.#pending.delete(pendingCall));
    }
  }
}
