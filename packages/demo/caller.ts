import { Agent, request as httpRequest } from "node:http";
import { v7 as uuidv7 } from "uuid";
import {
  type Address,
  type CallFaultCode,
  type DataCentre,
  HEADERS,
  type Outcome,
  type Randomness,
} from "#model";

/** A call that a caller of the demo or a bench makes. */
export interface CallerRequest {
  readonly service: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  /** Sent with a fresh idempotency key, as the request may run once only. */
  readonly keyed: boolean;
  readonly body?: string;
}

/** What the caller saw. */
export interface CallerAnswer {
  readonly outcome: Outcome | "no-answer";
  readonly status: number;
  readonly code: CallFaultCode | undefined;
  readonly requestId: string | undefined;
  readonly key: string | undefined;
  readonly body: string;
  readonly ms: number;
  /** Times that the caller came back after a not-run answer. */
  readonly resends: number;
}

interface EntryAddress extends Address {
  readonly weight: number;
}

/** Resends after a not-run answer, at the time that the answer named. */
const MAX_RESENDS = 5;

/** A caller that asks the system which entries to use, as the brief wants. */
export class Caller {
  readonly #seeds: readonly Address[];
  readonly #dataCentre: DataCentre;
  readonly #randomness: Randomness;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #known = new Map<string, { until: number; list: EntryAddress[] }>();

  constructor(options: {
    seeds: readonly Address[];
    dataCentre: DataCentre;
    randomness: Randomness;
  }) {
    this.#seeds = options.seeds;
    this.#dataCentre = options.dataCentre;
    this.#randomness = options.randomness;
  }

  /** Makes a call; comes back after a not-run answer when told to. */
  async call(request: CallerRequest): Promise<CallerAnswer> {
    const key = request.keyed ? uuidv7() : undefined;
    const started = performance.now();
    for (let resends = 0; ; resends++) {
      const entry = await this.#entry(request.service);
      const answer = await this.#send(entry, { request, key });
      // With its key, a request may be sent again also if it may have run.
      const safe = answer.outcome === "not-run" || key !== undefined;
      const again =
        safe && answer.retryAfterMs !== undefined && resends < MAX_RESENDS;
      if (!again) {
        const ms = performance.now() - started;
        return { ...answer, key, ms, resends };
      }
      await new Promise((resolve) => setTimeout(resolve, answer.retryAfterMs));
    }
  }

  close(): void {
    this.#agent.destroy();
  }

  async #entry(service: string): Promise<Address> {
    const known = this.#known.get(service);
    const list =
      known && known.until > performance.now()
        ? known.list
        : await this.#lookUp(service);
    const total = list.reduce((sum, { weight }) => sum + weight, 0);
    let point = this.#randomness.next() * total;
    for (const entry of list) {
      point -= entry.weight;
      if (point < 0) return entry;
    }
    return list[0] ?? this.#seed();
  }

  async #lookUp(service: string): Promise<EntryAddress[]> {
    const seed = this.#seed();
    const query = new URLSearchParams({
      service,
      data_centre: this.#dataCentre,
    });
    try {
      const { body } = await exchange({
        ...seed,
        agent: this.#agent,
        method: "GET",
        path: `/.mangobank/addresses?${query}`,
        headers: {},
      });
      const answer = JSON.parse(body) as {
        addresses: EntryAddress[];
        keep_ms: number;
      };
      const until = performance.now() + answer.keep_ms;
      this.#known.set(service, { until, list: answer.addresses });
      return answer.addresses;
    } catch {
      return [{ ...seed, weight: 1 }];
    }
  }

  #seed(): Address {
    const index = this.#randomness.below(this.#seeds.length);
    return this.#seeds[index] ?? { host: "127.0.0.1", port: 0 };
  }

  async #send(
    entry: Address,
    options: { request: CallerRequest; key: string | undefined },
  ) {
    const { request, key } = options;
    try {
      const { status, headers, body } = await exchange({
        host: entry.host,
        port: entry.port,
        agent: this.#agent,
        method: request.method,
        path: request.path,
        headers: {
          [HEADERS.service]: request.service,
          ...(key !== undefined && { [HEADERS.key]: key }),
        },
        ...(request.body !== undefined && { body: request.body }),
      });
      const outcome = (headers[HEADERS.outcome] ?? "unknown") as Outcome;
      const code = headers[HEADERS.error] as CallFaultCode | undefined;
      const requestId = headers[HEADERS.requestId] as string | undefined;
      const wait = headers[HEADERS.retryAfterMs];
      const retryAfterMs = wait === undefined ? undefined : Number(wait);
      return { outcome, status, code, requestId, body, retryAfterMs };
    } catch {
      return {
        outcome: "no-answer",
        status: 0,
        code: undefined,
        requestId: undefined,
        body: "",
        retryAfterMs: undefined,
      } as const;
    }
  }
}

interface ExchangeOptions extends Address {
  readonly agent: Agent;
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body?: string;
}

interface ExchangeAnswer {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: string;
}

/** One HTTP exchange; fails unless the whole answer arrives. */
export function exchange(options: ExchangeOptions): Promise<ExchangeAnswer> {
  const { body, ...target } = options;
  return new Promise((resolve, reject) => {
    const outgoing = httpRequest(target, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.once("error", reject);
      response.once("end", () => {
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
        });
      });
    });
    outgoing.once("error", reject);
    outgoing.end(body);
  });
}
