import type { Result } from "neverthrow";
import type { Address } from "#model";
import type { Metrics } from "#telemetry";
import { type HttpFailure, HttpServer, type ListenFault } from "#wire";
import { replyJson } from "./reply.ts";

/** The HTTP server for metrics and health checks, on its own address. */
export class AdminServer {
  readonly #server: HttpServer;

  constructor(options: {
    metrics: Pick<Metrics, "text" | "contentType">;
    /** Reasons why the process should get no new work; empty if it is ready. */
    notReadyReasons: () => readonly string[];
    status: () => unknown;
    /** Called for a request whose handling threw or rejected. */
    onFailure?: (failure: HttpFailure) => void;
  }) {
    const { metrics, notReadyReasons, status, onFailure } = options;
    const handlers = { ...(onFailure && { onFailure }) };
    this.#server = new HttpServer(handlers, async (request, response) => {
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
        const reasons = notReadyReasons();
        const ready = reasons.length === 0;
        const body = { ready, reasons, status: status() };
        replyJson(response, { status: ready ? 200 : 503, body });
        return;
      }
      replyJson(response, { status: 404, body: { error: "unknown_path" } });
    });
  }

  listen(address: Address): Promise<Result<Address, ListenFault>> {
    return this.#server.listen(address);
  }

  close(): void {
    this.#server.destroy();
  }
}
