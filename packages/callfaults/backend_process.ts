/**
 * One stand-in backend server in a process of its own, under orders of a test
 * over Node's IPC channel.
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

export interface BackendPlan {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly serviceMs: number;
  readonly entries: readonly Address[];
  /** Receives one line of JSON for each run, before the request is answered. */
  readonly ledgerFile: string;
}

/** The part of a behaviour that a message can carry. */
export type BackendBehaviour = Partial<Omit<Behaviour, "serviceMs">>;

export type BackendOrder =
  | { readonly type: "start"; readonly plan: BackendPlan }
  | { readonly type: "behave"; readonly behaviour: BackendBehaviour }
  | { readonly type: "leave" }
  | { readonly type: "report" };

export interface BackendReport {
  readonly started: number;
  readonly refused: number;
  readonly probes: number;
}

/** A run as it stands in the ledger file. */
export interface RecordedRun extends Execution {
  /** Wall-clock time in milliseconds. */
  readonly at: number;
}

/** A ledger that survives the end of its process. */
class FileLedger extends ExecutionLog {
  readonly #file: number;

  constructor(path: string) {
    super();
    this.#file = openSync(path, "a");
  }

  override record(execution: Execution): void {
    const run: RecordedRun = { ...execution, at: Date.now() };
    writeSync(this.#file, `${JSON.stringify(run)}\n`);
    super.record(execution);
    if (/[?&]crash=1/.test(execution.path)) {
      process.kill(process.pid, "SIGKILL");
    }
  }
}

let server: StandinServer | undefined;

async function carryOut(order: BackendOrder): Promise<BackendReport> {
  switch (order.type) {
    case "start": {
      const { plan } = order;
      server = new StandinServer({
        ...plan,
        entries: () => plan.entries,
        executionLog: new FileLedger(plan.ledgerFile),
        behaviour: { serviceMs: exponentialServiceMs(plan.serviceMs) },
      });
      await server.start();
      break;
    }
    case "behave":
      server?.setBehaviour(order.behaviour);
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

process.on("message", async (order: BackendOrder) => {
  process.send?.(await carryOut(order));
});
process.once("disconnect", () => process.exit(0));
