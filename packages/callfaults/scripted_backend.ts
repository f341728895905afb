import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Address } from "#model";

const RENEW_MS = 1_000;

/**
 * A backend server in the test process that keeps its lease and passes each
 * request to a function of the test, which controls every byte of the response.
 */
export class ScriptedBackend {
  /** Requests that arrived, without load probes. */
  requests = 0;
  readonly #options: {
    id: string;
    service: string;
    entries: readonly Address[];
    handleRequest: (request: IncomingMessage, response: ServerResponse) => void;
  };
  readonly #server: Server;
  #timer: NodeJS.Timeout | undefined;
  #sequence = 0;
  readonly #incarnation = Date.now();

  constructor(options: {
    id: string;
    service: string;
    entries: readonly Address[];
    handleRequest: (request: IncomingMessage, response: ServerResponse) => void;
  }) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      response.on("error", () => undefined);
      request.resume();
      if (request.url !== "/.mangobank/load") this.requests++;
      options.handleRequest(request, response);
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, "127.0.0.1", resolve);
    });
    await this.#announce();
    this.#timer = setInterval(() => void this.#announce(), RENEW_MS);
  }

  async close(): Promise<void> {
    clearInterval(this.#timer);
    const { id, service } = this.#options;
    const query = `incarnation=${this.#incarnation}&service=${service}`;
    await this.#sendToEntry(`${id}?${query}`, { method: "DELETE" });
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #announce(): Promise<void> {
    const bound = this.#server.address();
    const { id, service } = this.#options;
    await this.#sendToEntry(id, {
      method: "PUT",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        service,
        host: "127.0.0.1",
        port: typeof bound === "object" && bound ? bound.port : 0,
        data_centre: "riga-a",
        incarnation: this.#incarnation,
        sequence: ++this.#sequence,
        state: "ready",
        slots: 6,
        connections: 300,
        in_flight: 0,
        started_ms_ago: 60_000,
      }),
    });
  }

  /** Sends a request to the entries in turn until one accepts it. */
  async #sendToEntry(path: string, request: RequestInit): Promise<void> {
    for (const { host, port } of this.#options.entries) {
      const url = `http://${host}:${port}/.mangobank/servers/${path}`;
      const response = await fetch(url, request).catch(() => undefined);
      await response?.arrayBuffer().catch(() => undefined);
      if (response?.ok) return;
    }
  }
}
