import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { v7 as uuidv7 } from "uuid";
import { type Address, HEADERS, SeededRandomness } from "#model";
import { exchange } from "../demo/caller.ts";

/** One request of a caller, as it left and as its answer came. */
export interface Sent {
  readonly path: string;
  readonly key: string | undefined;
  readonly outcome: "answered" | "not-run" | "unknown" | "no-answer";
  readonly status: number;
  readonly code: string | undefined;
  readonly requestId: string | undefined;
  readonly retryAfter: string | undefined;
  readonly retryAfterMs: number | undefined;
  readonly body: string;
  /** Wall-clock time of the answer, in milliseconds. */
  readonly at: number;
}

/** A call with all requests that its caller sent; the last one is final. */
export interface MadeCall {
  readonly service: string;
  readonly attempts: readonly Sent[];
}

export interface CallOrder {
  readonly service: string;
  readonly path: string;
  /** Present for a booking. */
  readonly key?: string | undefined;
  readonly headers?: Readonly<Record<string, string>>;
}

/**
 * A caller comes back for this long. A key of which two holders were lost is
 * refused for 33 s (design 6.3), so that a booking may take that long.
 */
const GIVE_UP_MS = 50_000;
/** Pause where the answer names no time. */
const PAUSE_MS = 150;
const CALLERS = 8;

const running = new Set<Load>();

/** Ends loads that a failed test left running; they would keep Node alive. */
export function endLoads(): void {
  for (const load of running) load.end();
}

/** Sends one request to one entry. */
export async function sendOnce(
  entry: Address,
  order: CallOrder,
  agent?: Agent,
): Promise<Sent> {
  const { service, path, key, headers = {} } = order;
  const common = { path, key };
  try {
    const answer = await exchange({
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
    const header = (name: string) => answer.headers[name] as string | undefined;
    const wait = header(HEADERS.retryAfterMs);
    return {
      ...common,
      outcome: (header(HEADERS.outcome) ?? "unknown") as Sent["outcome"],
      status: answer.status,
      code: header(HEADERS.error),
      requestId: header(HEADERS.requestId),
      retryAfter: header(HEADERS.retryAfter),
      retryAfterMs: wait === undefined ? undefined : Number(wait),
      body: answer.body,
      at: Date.now(),
    };
  } catch {
    return {
      ...common,
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

interface Looked {
  readonly until: number;
  readonly list: readonly (Address & { readonly weight: number })[];
}

/** A caller that looks entries up and resends with the same key. */
class ResendingCaller {
  readonly #seeds: readonly Address[];
  readonly #random: SeededRandomness;
  readonly #giveUpMs: number;
  readonly #agent = new Agent({ keepAlive: true });
  #closed = false;
  #looked: Looked | undefined;

  constructor(options: {
    seeds: readonly Address[];
    seed: number;
    giveUpMs: number;
  }) {
    this.#seeds = options.seeds;
    this.#random = new SeededRandomness(options.seed);
    this.#giveUpMs = options.giveUpMs;
  }

  async call(order: CallOrder): Promise<MadeCall> {
    const attempts: Sent[] = [];
    const giveUpAt = performance.now() + this.#giveUpMs;
    let broken: Address | undefined;
    for (;;) {
      const entry = await this.#entry(order.service, broken);
      const sent = await sendOnce(entry, order, this.#agent);
      attempts.push(sent);
      const late = performance.now() > giveUpAt;
      if (late || this.#closed || !comesBack(sent)) {
        return { service: order.service, attempts };
      }
      broken = sent.outcome === "no-answer" ? entry : undefined;
      await sleep(sent.retryAfterMs ?? PAUSE_MS);
    }
  }

  close(): void {
    this.#closed = true;
    this.#agent.destroy();
  }

  async #entry(service: string, broken: Address | undefined): Promise<Address> {
    const now = performance.now();
    if (!this.#looked || this.#looked.until < now) await this.#lookUp(service);
    const all = this.#looked?.list ?? [];
    const rest = all.filter(({ port }) => port !== broken?.port);
    const weighted = rest.filter(({ weight }) => weight > 0);
    const list = weighted.length > 0 ? weighted : rest;
    const total = list.reduce((sum, { weight }) => sum + weight, 0);
    let point = this.#random.next() * total;
    for (const entry of list) {
      point -= entry.weight;
      if (point < 0) return entry;
    }
    return list[0] ?? this.#seed();
  }

  async #lookUp(service: string): Promise<void> {
    const { host, port } = this.#seed();
    const url = `http://${host}:${port}/.mangobank/addresses?service=${service}`;
    try {
      const signal = AbortSignal.timeout(1_000);
      const response = await fetch(url, { signal });
      if (!response.ok) return;
      const { addresses, keep_ms } = (await response.json()) as {
        addresses: Looked["list"];
        keep_ms: number;
      };
      this.#looked = { until: performance.now() + keep_ms, list: addresses };
    } catch {
      // The entry is gone: the next call asks another seed.
    }
  }

  #seed(): Address {
    const index = this.#random.below(this.#seeds.length);
    return this.#seeds[index] ?? { host: "127.0.0.1", port: 0 };
  }
}

/** With its key, a request may be sent again whatever is known of it. */
const SENT_AGAIN: ReadonlySet<string> = new Set([
  "already_running",
  "claim_unavailable",
  "not_ready",
]);

function comesBack({ outcome, code }: Sent): boolean {
  if (outcome === "no-answer" || outcome === "not-run") return true;
  return code !== undefined && SENT_AGAIN.has(code);
}

/** Steady calls from several callers; a third of them are bookings. */
export class Load {
  readonly calls: MadeCall[] = [];
  sent = 0;
  readonly #service: string;
  readonly #rate: number;
  readonly #callers: readonly ResendingCaller[];
  readonly #pending = new Set<Promise<void>>();
  readonly #done: Promise<void>;
  #stopped = false;

  constructor(options: {
    service: string;
    seeds: readonly Address[];
    /** Calls a second. */
    rate?: number;
    giveUpMs?: number;
  }) {
    this.#service = options.service;
    this.#rate = options.rate ?? 150;
    this.#callers = Array.from(
      { length: CALLERS },
      (_, index) =>
        new ResendingCaller({
          seeds: options.seeds,
          seed: index + 1,
          giveUpMs: options.giveUpMs ?? GIVE_UP_MS,
        }),
    );
    running.add(this);
    this.#done = this.#run();
  }

  /** Ends at once, whatever is under way. */
  end(): void {
    this.#stopped = true;
    running.delete(this);
    for (const caller of this.#callers) caller.close();
  }

  /** Sends no more and waits for every call's final answer. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#done;
    await Promise.all(this.#pending);
    this.end();
  }

  /** Resolves when this many further calls have had their final answer. */
  async further(count: number): Promise<void> {
    const target = this.calls.length + count;
    while (this.calls.length < target && running.has(this)) await sleep(20);
  }

  async #run(): Promise<void> {
    const started = performance.now();
    while (!this.#stopped) {
      const due = started + (this.sent * 1_000) / this.#rate;
      const wait = due - performance.now();
      if (wait > 0) await sleep(wait);
      const caller = this.#callers[this.sent % CALLERS];
      const number = this.sent++;
      const order =
        number % 3 === 0
          ? { path: `/bookings/${number}`, key: uuidv7() }
          : { path: `/timesheets/${number}` };
      const made = caller
        ?.call({ service: this.#service, ...order })
        .then((call) => void this.calls.push(call));
      if (!made) continue;
      this.#pending.add(made);
      void made.finally(() => this.#pending.delete(made));
    }
  }
}
