/**
 * Runs one stand-in backend server in a process of its own. A test controls it
 * with commands over Node's IPC channel.
 *
 * @module
 */
import { openSync, writeSync } from "node:fs";
import type { Address } from "#model";
import {
  type Behaviour,
  type Execution,
  ExecutionLog,
  exponentialServiceMs,
  StandinServer,
} from "#standin";

export interface BackendOptions {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly serviceMs: number;
  readonly entries: readonly Address[];
  /**
   * File that gets one line of JSON per execution, before the response is sent.
   */
  readonly executionLogFile: string;
}

/**
 * The fields of `Behaviour` that can be sent over IPC: all but the function.
 */
export type BackendBehaviour = Partial<Omit<Behaviour, "serviceMs">>;

export type BackendCommand =
  | { readonly type: "start"; readonly plan: BackendOptions }
  | { readonly type: "behave"; readonly behaviour: BackendBehaviour }
  | { readonly type: "leave" }
  | { readonly type: "report" };

/** Counters of a backend server since the start of its process. */
export interface BackendCounts {
  readonly started: number;
  readonly refused: number;
  readonly probes: number;
}

/** An execution as it is recorded in the execution log file. */
export interface RecordedExecution extends Execution {
  /** Wall-clock time in milliseconds. */
  readonly at: number;
}

/**
 * An execution log in a file, so that it survives the process. Also kills the
 * process when it records a crash request.
 */
class FileExecutionLog extends ExecutionLog {
  readonly #file: number;

  constructor(path: string) {
    super();
    this.#file = openSync(path, "a");
  }

  override record(execution: Execution): void {
    const recorded: RecordedExecution = { ...execution, at: Date.now() };
    writeSync(this.#file, `${JSON.stringify(recorded)}\n`);
    super.record(execution);
    if (/[?&]crash=1/.test(execution.path)) {
      process.kill(process.pid, "SIGKILL");
    }
  }
}

let server: StandinServer | undefined;

async function executeCommand(command: BackendCommand): Promise<BackendCounts> {
  switch (command.type) {
    case "start": {
      const { plan } = command;
      server = new StandinServer({
        ...plan,
        entries: () => plan.entries,
        executionLog: new FileExecutionLog(plan.executionLogFile),
        behaviour: { serviceMs: exponentialServiceMs(plan.serviceMs) },
      });
      await server.start();
      break;
    }
    case "behave":
      server?.setBehaviour(command.behaviour);
      break;
    case "leave":
      await server?.leave();
      break;
    case "report":
  }
  const counts = server?.counts ?? { started: 0, refused: 0, probes: 0 };
  const { started, refused, probes } = counts;
  return { started, refused, probes };
}

process.on("message", async (command: BackendCommand) => {
  process.send?.(await executeCommand(command));
});
process.once("disconnect", () => process.exit(0));
