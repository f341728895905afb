import { type ChildProcess, fork } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import type {
  BackendBehaviour,
  BackendOrder,
  BackendPlan,
  BackendReport,
  RecordedRun,
} from "./backend_process.ts";

/** A test's side of a backend server process. */
export class Backend {
  readonly plan: BackendPlan;
  readonly #program: string;
  #child: ChildProcess | undefined;
  #orders: Promise<unknown> = Promise.resolve();

  constructor(program: string, plan: BackendPlan) {
    this.#program = program;
    this.plan = plan;
  }

  /** Starts the process, also again after it was killed. */
  async start(): Promise<void> {
    this.#child = fork(this.#program, {
      stdio: ["ignore", "ignore", "inherit", "ipc"],
      // JSON would drop the fields that an order sets to undefined.
      serialization: "advanced",
    });
    const child = this.#child;
    // An order to a process that has just died is lost with it.
    child.on("error", () => undefined);
    process.once("exit", () => child.kill("SIGKILL"));
    await this.#ask({ type: "start", plan: this.plan });
  }

  get running(): boolean {
    const child = this.#child;
    return !!child && child.exitCode === null && child.signalCode === null;
  }

  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  async kill(): Promise<void> {
    const child = this.#child;
    if (!child || !this.running) return;
    const ended = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await ended;
  }

  behave(behaviour: BackendBehaviour): Promise<BackendReport> {
    return this.#ask({ type: "behave", behaviour });
  }

  leave(): Promise<BackendReport> {
    return this.#ask({ type: "leave" });
  }

  report(): Promise<BackendReport> {
    return this.#ask({ type: "report" });
  }

  /** Every run of all incarnations, also of killed ones. */
  runs(): RecordedRun[] {
    const { ledgerFile } = this.plan;
    if (!existsSync(ledgerFile)) return [];
    const lines = readFileSync(ledgerFile, "utf8").split("\n").filter(Boolean);
    return lines.map((line) => JSON.parse(line) as RecordedRun);
  }

  /** Sends one order at a time, so that each reply belongs to its order. */
  #ask(order: BackendOrder): Promise<BackendReport> {
    const asked = this.#orders.then(
      () =>
        new Promise<BackendReport>((resolve, reject) => {
          const child = this.#child;
          if (!child || !this.running) {
            reject(new Error(`${this.plan.id} does not run`));
            return;
          }
          const onReply = (report: unknown) => {
            child.off("exit", onExit);
            resolve(report as BackendReport);
          };
          const onExit = () => {
            child.off("message", onReply);
            reject(new Error(`${this.plan.id} ended`));
          };
          child.once("message", onReply);
          child.once("exit", onExit);
          child.send(order);
        }),
    );
    this.#orders = asked.catch(() => undefined);
    return asked;
  }
}
