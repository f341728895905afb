import { type ChildProcess, fork } from "node:child_process";
import type {
  StandinOrder,
  StandinPlan,
  StandinReply,
  StandinRun,
} from "./standin_process.ts";

/** The demo's side of a process with stand-in backend servers. */
export class StandinHandle {
  readonly plan: StandinPlan;
  readonly #child: ChildProcess;

  constructor(program: string, plan: StandinPlan) {
    this.plan = plan;
    this.#child = fork(program, {
      stdio: ["ignore", "ignore", "inherit", "ipc"],
    });
  }

  async start(): Promise<void> {
    await this.#ask({ type: "start", plan: this.plan }, "started");
  }

  /** Stops a data centre's servers; returns the calls that ran there. */
  async stop(dataCentre: string): Promise<number> {
    const reply = await this.#ask({ type: "stop", dataCentre }, "stopped");
    return reply.cutOff;
  }

  async runs(): Promise<readonly StandinRun[]> {
    return (await this.#ask({ type: "report" }, "report")).runs;
  }

  close(): void {
    this.#child.kill("SIGKILL");
  }

  #ask<T extends StandinReply["type"]>(
    order: StandinOrder,
    expected: T,
  ): Promise<Extract<StandinReply, { type: T }>> {
    return new Promise((resolve) => {
      const listener = (reply: StandinReply) => {
        if (reply.type !== expected) return;
        this.#child.off("message", listener);
        resolve(reply as Extract<StandinReply, { type: T }>);
      };
      this.#child.on("message", listener);
      this.#child.send(order);
    });
  }
}
