import { type ChildProcess, fork } from "node:child_process";
import type {
  StandinCommand,
  StandinPlan,
  StandinReply,
  StandinRun,
} from "./standin_process.ts";

/** Starts and controls a process that runs stand-in backend servers. */
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
    await this.#request({ type: "start", plan: this.plan }, "started");
  }

  /** Stops the servers of a data centre; returns how many calls still ran. */
  async stop(dataCentre: string): Promise<number> {
    const reply = await this.#request({ type: "stop", dataCentre }, "stopped");
    return reply.cutOff;
  }

  async runs(): Promise<readonly StandinRun[]> {
    return (await this.#request({ type: "report" }, "report")).runs;
  }

  close(): void {
    this.#child.kill("SIGKILL");
  }

  #request<T extends StandinReply["type"]>(
    command: StandinCommand,
    expected: T,
  ): Promise<Extract<StandinReply, { type: T }>> {
    return new Promise((resolve) => {
      const listener = (reply: StandinReply) => {
        if (reply.type !== expected) return;
        this.#child.off("message", listener);
        resolve(reply as Extract<StandinReply, { type: T }>);
      };
      this.#child.on("message", listener);
      this.#child.send(command);
    });
  }
}
