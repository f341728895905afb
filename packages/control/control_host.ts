import { err, ok, type Result } from "neverthrow";
import type { Clock } from "#model";
import { createOperatorServer, OperatorApi } from "#operators";
import type { DiskMonitor } from "#storage";
import { endpointFailures, recordEndpointFailure } from "#telemetry";
import type { HttpServer } from "#wire";
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

/**
 * Time for the requests in progress when control stops. A change that is
 * confirmed later than this is answered after it is sent again.
 */
export const STOP_DRAIN_MS = 1_000;

/** As `STOP_DRAIN_MS`, for changes that wait until they are in force. */
const OPERATOR_DRAIN_MS = 5_000;

/** A control process with the operator API over HTTP. */
export class ControlHost {
  readonly process: ControlProcess;
  readonly #server: HttpServer;
  readonly #clock: Clock;

  private constructor(
    process: ControlProcess,
    options: { server: HttpServer; clock: Clock },
  ) {
    this.process = process;
    this.#server = options.server;
    this.#clock = options.clock;
  }

  /** Opens the control process and starts the operator API. */
  static async start(
    options: ControlOptions & { readonly disk: DiskMonitor },
  ): Promise<Result<ControlHost, ControlFault>> {
    const opened = await ControlProcess.open(options);
    if (opened.isErr()) return err(opened.error);
    const control = opened.value;
    const { settings, clock, logger, disk } = options;
    const api = new OperatorApi({
      log: createChangeLog(control),
      registry: control.registry,
      live: new HostStatuses({ control, settings, clock }),
      rollout: { inForce: (version) => control.waitUntilInForce(version) },
      members: new ControlMembers({ control, settings }),
      clock,
      systemCredentialSha256: settings.systemCredentialSha256,
      bodyMaxBytes: settings.limits.bodyMaxBytes,
      onFailure: (cause) => {
        recordEndpointFailure("operators");
        logger.error("operator request failed", { cause });
      },
    });
    const metrics = controlMetrics(control, { clock, disk });
    const handle = withHealthEndpoints(api.handle, { control, metrics });
    const server = createOperatorServer(handle, {
      ...settings.limits,
      onFailure: endpointFailures("operators", logger),
    });
    const listening = await server.listen(settings.http);
    if (listening.isErr()) {
      await control.close();
      return err(listening.error);
    }
    const { id, http, peer } = settings;
    logger.info("control host started", { id, http, peer });
    return ok(new ControlHost(control, { server, clock }));
  }

  /** Answers the requests that were read, and stops the process. */
  async close(): Promise<void> {
    await this.#server.close(this.#clock, OPERATOR_DRAIN_MS);
    await this.process.close();
  }
}
