import { SystemClock, SystemRandomness } from "#model";
import type { ControlSettings, EntrySettings } from "#settings";
import type { Logger } from "../telemetry/logger.ts";
import { stopSignal } from "../telemetry/stop_signal.ts";
import { EXIT } from "./exit_codes.ts";

/** Functions that run each role until it stops and resolve to an exit code. */
export interface RoleRunners {
  entry(settings: EntrySettings): Promise<number>;
  control(settings: ControlSettings): Promise<number>;
}

/** The roles of the program. */
export const ROLES: RoleRunners = { entry: runEntry, control: runControl };

// Each role imports only its own packages, as all together take about 15 MB.
async function runEntry(settings: EntrySettings): Promise<number> {
  const logger = await createRoleLogger("entry", settings.id);
  const { EntryProcess } = await import("#entry");
  const stopRequested = stopSignal();
  const entry = new EntryProcess({
    settings,
    logger,
    clock: new SystemClock(),
    randomness: new SystemRandomness(),
  });
  const started = await entry.start();
  if (started.isErr()) {
    logger.error("entry cannot start", { fault: started.error });
    return EXIT.failed;
  }
  await stopRequested;
  await entry.stop();
  return EXIT.done;
}

async function runControl(settings: ControlSettings): Promise<number> {
  const logger = await createRoleLogger("control", settings.id);
  const { ControlHost } = await import("#control");
  const { DiskMonitor, FileStorage, MonitoredFileSystem, NodeFileSystem } =
    await import("#storage");
  const stopRequested = stopSignal();
  const clock = new SystemClock();
  const disk = new DiskMonitor({ clock, logger });
  const fileSystem = new MonitoredFileSystem(new NodeFileSystem(), disk);
  const started = await ControlHost.start({
    settings,
    logger,
    storage: new FileStorage({ folder: settings.dataFolder, fileSystem }),
    disk,
    clock,
    randomness: new SystemRandomness(),
  });
  if (started.isErr()) {
    logger.error("control host cannot start", { fault: started.error });
    return EXIT.failed;
  }
  const host = started.value;
  const stopReason = await Promise.race([
    stopRequested.then(() => "signal" as const),
    host.process.stopped,
  ]);
  await host.close();
  if (stopReason === "signal" || stopReason === undefined) return EXIT.done;
  logger.error("control host stops after a fault of its storage", {
    fault: stopReason,
  });
  return EXIT.failed;
}

/** The logger of a role, which also tells why the process ends by an error. */
async function createRoleLogger(role: string, host: string): Promise<Logger> {
  const { ConsolaLogger } = await import("../telemetry/logger.ts");
  const { logUncaughtErrors } = await import("../telemetry/process_end.ts");
  const logger = new ConsolaLogger({ fields: { host } });
  // Standard error is written synchronously, as Node does for files and pipes.
  logUncaughtErrors(() => logger.with({ role }));
  return logger;
}
