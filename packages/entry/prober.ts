import { request as httpRequest } from "node:http";
import { type BackendServer, type Clock, OWN_PATH } from "#model";
import type { ProbeResult } from "#routing";
import type { Metrics } from "#telemetry";

/** A probe that takes longer counts as failed. */
const PROBE_TIMEOUT_MS = 1_000;
const MAX_ANSWER_BYTES = 4_096;

/** Asks backend servers for their load; each probe takes a slot there. */
export class Prober {
  readonly #clock: Clock;
  readonly #metrics: Metrics;

  constructor(options: { clock: Clock; metrics: Metrics }) {
    this.#clock = options.clock;
    this.#metrics = options.metrics;
  }

  async probe(server: BackendServer): Promise<ProbeResult> {
    const started = this.#clock.now();
    const answer = await askLoad(server);
    const ms = this.#clock.now() - started;
    this.#metrics.probed(server.service, ms);
    if (!answer) return { kind: "failed" };
    const { inFlight, leaving } = answer;
    return { kind: "answered", inFlight, ms, leaving };
  }
}

interface Load {
  readonly inFlight: number;
  readonly leaving: boolean;
}

function askLoad({ address }: BackendServer): Promise<Load | undefined> {
  return new Promise((resolve) => {
    const outgoing = httpRequest(
      {
        host: address.host,
        port: address.port,
        path: `${OWN_PATH}load`,
        timeout: PROBE_TIMEOUT_MS,
      },
      (response) => {
        const chunks: Buffer[] = [];
        let length = 0;
        response.on("data", (chunk: Buffer) => {
          length += chunk.length;
          if (length > MAX_ANSWER_BYTES) outgoing.destroy();
          else chunks.push(chunk);
        });
        response.once("error", () => resolve(undefined));
        response.once("end", () => resolve(parseLoad(Buffer.concat(chunks))));
      },
    );
    outgoing.once("timeout", () => outgoing.destroy());
    outgoing.once("error", () => resolve(undefined));
    outgoing.once("close", () => resolve(undefined));
    outgoing.end();
  });
}

function parseLoad(body: Buffer): Load | undefined {
  try {
    const json = JSON.parse(body.toString()) as Record<string, unknown>;
    const inFlight = json.in_flight;
    if (typeof inFlight !== "number" || !Number.isFinite(inFlight)) {
      return undefined;
    }
    return { inFlight, leaving: json.state === "leaving" };
  } catch {
    return undefined;
  }
}
