import { createServer, type Server } from "node:http";
import type { Result } from "neverthrow";
import type { Address } from "#model";
import type { Metrics } from "#telemetry";
import { type ListenFault, listen } from "#wire";
import { replyJson } from "./reply.ts";

/** Serves `/metrics`, `/healthz` and `/readyz` on an address of their own. */
export class AdminServer {
  readonly #server: Server;

  constructor(options: {
    metrics: Metrics;
    /** Reasons for which the process should get no new work; none if ready. */
    notReady: () => readonly string[];
    status: () => unknown;
  }) {
    const { metrics, notReady, status } = options;
    this.#server = createServer(async (request, response) => {
      request.resume();
      const path = request.url?.split("?")[0];
      if (path === "/metrics") {
        const text = await metrics.text();
        response.writeHead(200, { "content-type": metrics.contentType });
        response.end(text);
        return;
      }
      if (path === "/healthz") {
        replyJson(response, { status: 200, body: { status: "ok" } });
        return;
      }
      if (path === "/readyz") {
        const reasons = notReady();
        const ready = reasons.length === 0;
        const body = { ready, reasons, status: status() };
        replyJson(response, { status: ready ? 200 : 503, body });
        return;
      }
      replyJson(response, { status: 404, body: { error: "unknown_path" } });
    });
  }

  listen(address: Address): Promise<Result<Address, ListenFault>> {
    return listen(this.#server, address);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
