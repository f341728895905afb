import type { IncomingMessage, ServerResponse } from "node:http";
import type { Clock } from "#model";
import type { DiskMonitor } from "#storage";
import { ControlMetrics } from "#telemetry";
import type { ControlProcess } from "./control_process.ts";

/** The metrics of a control process, read at each scrape. */
export function controlMetrics(
  control: ControlProcess,
  { clock, disk }: { clock: Clock; disk: DiskMonitor },
): ControlMetrics {
  return new ControlMetrics({
    configurationVersion: () => control.registry.configuration().version,
    appliedIndex: () => control.status().applied,
    term: () => control.status().term,
    leading: () => control.status().role === "leader",
    liveEntries: () => control.entryTable.liveEntries(clock.now()).length,
    peerTraffic: () => control.traffic,
    diskWritable: () => disk.isWritable,
    failedWrites: () => disk.failedWrites,
  });
}

/** The metrics of a control role that is closed until its disk has room. */
export function closedControlMetrics(disk: DiskMonitor): ControlMetrics {
  return new ControlMetrics({
    diskWritable: () => disk.isWritable,
    failedWrites: () => disk.failedWrites,
  });
}

type ServeEndpoint = (response: ServerResponse) => void | Promise<void>;
type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

/**
 * Serves `/metrics`, `/healthz` and `/readyz`, and passes all other requests to
 * the operator API. A control host is ready while a majority confirms its
 * state, and never while it is closed, without a process.
 */
export function withHealthEndpoints(
  operators: RequestHandler,
  options: { control: ControlProcess | undefined; metrics: ControlMetrics },
): RequestHandler {
  const { control, metrics } = options;
  const paths: Readonly<Record<string, ServeEndpoint>> = {
    "/healthz": (response) => reply(response, 200, { status: "ok" }),
    "/readyz": async (response) => {
      if (!control) {
        reply(response, 503, { ready: false });
        return;
      }
      const ready = (await control.confirmRead()).isOk();
      const { role, term, applied } = control.status();
      reply(response, ready ? 200 : 503, { ready, role, term, applied });
    },
    "/metrics": async (response) => {
      const text = await metrics.text();
      response.writeHead(200, { "content-type": metrics.contentType });
      response.end(text);
    },
  };
  return (request, response) => {
    const path = request.url?.split("?")[0] ?? "";
    const serveEndpoint = request.method === "GET" ? paths[path] : undefined;
    if (!serveEndpoint) return operators(request, response);
    request.resume();
    return serveEndpoint(response);
  };
}

function reply(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}
