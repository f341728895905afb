import type { Server } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { createOperatorServer, OperatorApi } from "#operators";
import { listen } from "#wire";
import {
  type ControlFault,
  type ControlOptions,
  ControlProcess,
} from "./control_process.ts";
import { controlMetrics, withHealthEndpoints } from "./health.ts";
import {
  ControlMembers,
  createChangeLog,
  HostStatuses,
} from "./operator_ports.ts";

/** A control process with the operator API over HTTP. */
export class ControlHost {
  readonly process: ControlProcess;
  readonly #server: Server;

  private constructor(process: ControlProcess, server: Server) {
    this.process = process;
    this.#server = server;
  }

  /** Opens the control process and starts the operator API. */
  static async start(
    options: ControlOptions,
  ): Promise<Result<ControlHost, ControlFault>> {
    const opened = await ControlProcess.open(options);
    if (opened.isErr()) return err(opened.error);
    const control = opened.value;
    const { settings, clock, logger } = options;
    const api = new OperatorApi({
      log: createChangeLog(control),
      registry: control.registry,
      live: new HostStatuses({ control, settings, clock }),
      rollout: { inForce: (version) => control.waitUntilInForce(version) },
      members: new ControlMembers({ control, settings }),
      clock,
      systemCredentialSha256: settings.systemCredentialSha256,
      bodyMaxBytes: settings.limits.bodyMaxBytes,
      onFailure: (cause) => logger.error("operator request failed", { cause }),
    });
    const metrics = controlMetrics(control, clock);
    const handle = withHealthEndpoints(api.handle, { control, metrics });
    const server = createOperatorServer(handle, settings.limits);
    const listening = await listen(server, settings.http);
    if (listening.isErr()) {
      await control.close();
      return err(listening.error);
    }
    const { id, http, peer } = settings;
    logger.info("control host started", { id, http, peer });
    return ok(new ControlHost(control, server));
  }

  async close(): Promise<void> {
    this.#server.close();
    this.#server.closeAllConnections();
    await this.process.close();
  }
}
