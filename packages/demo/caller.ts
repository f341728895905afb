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

/** A request that a caller sends. */
export interface CallerRequest {
  readonly service: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  /** Sends a new idempotency key, for a request that must run at most once. */
  readonly keyed: boolean;
  readonly body?: string;
}

/** The final response to a call, as its caller sees it. */
export interface CallerResponse {
  readonly outcome: Outcome | "no-answer";
  readonly status: number;
  readonly code: CallFaultCode | undefined;
  readonly requestId: string | undefined;
  readonly key: string | undefined;
  readonly body: string;
  /** Time from the first request to the final response, in milliseconds. */
  readonly ms: number;
  /** How often the caller sent the request again. */
  readonly resends: number;
}

interface WeightedAddress extends Address {
  readonly weight: number;
}

/** Limit of resends, each after the delay that the last response asked for. */
const MAX_RESENDS = 5;

/**
 * A caller that looks up the entries of a service, picks one by weight and
 * resends as the response asks.
 */
export class Caller {
  readonly #seeds: readonly Address[];
  readonly #dataCentre: DataCentre;
  readonly #randomness: Randomness;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #addressCache = new Map<
    string,
    { until: number; addresses: WeightedAddress[] }
  >();

  constructor(options: {
    seeds: readonly Address[];
    dataCentre: DataCentre;
    randomness: Randomness;
  }) {
    this.#seeds = options.seeds;
    this.#dataCentre = options.dataCentre;
    this.#randomness = options.randomness;
  }

  /** Makes a call, with resends while they are safe and asked for. */
  async call(request: CallerRequest): Promise<CallerResponse> {
    const key = request.keyed ? uuidv7() : undefined;
    const started = performance.now();
    for (let resends = 0; ; resends++) {
      const entry = await this.#pickEntry(request.service);
      const response = await this.#send(entry, { request, key });
      // The key also allows a resend when the first request may have run.
      const safeToResend = response.outcome === "not-run" || key !== undefined;
      const shouldResend =
        safeToResend &&
        response.retryAfterMs !== undefined &&
        resends < MAX_RESENDS;
      if (!shouldResend) {
        const ms = performance.now() - started;
        return { ...response, key, ms, resends };
      }
      await new Promise((resolve) =>
        setTimeout(resolve, response.retryAfterMs),
      );
    }
  }

  close(): void {
    this.#agent.destroy();
  }

  async #pickEntry(service: string): Promise<Address> {
    const cached = this.#addressCache.get(service);
    const addresses =
      cached && cached.until > performance.now()
        ? cached.addresses
        : await this.#lookUpEntries(service);
    const total = addresses.reduce((sum, { weight }) => sum + weight, 0);
    let point = this.#randomness.next() * total;
    for (const entry of addresses) {
      point -= entry.weight;
      if (point < 0) return entry;
    }
    return addresses[0] ?? this.#pickSeed();
  }

  async #lookUpEntries(service: string): Promise<WeightedAddress[]> {
    const seed = this.#pickSeed();
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
      const response = JSON.parse(body) as {
        addresses: WeightedAddress[];
        keep_ms: number;
      };
      const until = performance.now() + response.keep_ms;
      this.#addressCache.set(service, { until, addresses: response.addresses });
      return response.addresses;
    } catch {
      return [{ ...seed, weight: 1 }];
    }
  }

  #pickSeed(): Address {
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
      const retryAfterHeader = headers[HEADERS.retryAfterMs];
      const retryAfterMs =
        retryAfterHeader === undefined ? undefined : Number(retryAfterHeader);
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

interface HttpResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: string;
}

/** Sends an HTTP request; rejects unless the whole response arrives. */
export function exchange(options: ExchangeOptions): Promise<HttpResponse> {
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
