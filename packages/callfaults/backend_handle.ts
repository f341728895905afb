import { type ChildProcess, fork } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import type {
  BackendBehaviour,
  BackendCommand,
  BackendCounts,
  BackendOptions,
  RecordedExecution,
} from "./backend_process.ts";

/** Starts and controls a backend server process from a test. */
export class BackendHandle {
  /** Options of the server; sent to the process when it starts. */
  readonly options: BackendOptions;
  readonly #program: string;
  #child: ChildProcess | undefined;
  #pendingCommands: Promise<unknown> = Promise.resolve();

  constructor(program: string, options: BackendOptions) {
    this.#program = program;
    this.options = options;
  }

  /** Starts the process; also restarts it after it was killed. */
  async start(): Promise<void> {
    this.#child = fork(this.#program, {
      stdio: ["ignore", "ignore", "inherit", "ipc"],
      // JSON would drop the fields that a command sets to undefined.
      serialization: "advanced",
    });
    const child = this.#child;
    // Sending a command to a process that has just exited emits an error.
    child.on("error", () => undefined);
    process.once("exit", () => child.kill("SIGKILL"));
    await this.#send({ type: "start", plan: this.options });
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

  setBehaviour(behaviour: BackendBehaviour): Promise<BackendCounts> {
    return this.#send({ type: "behave", behaviour });
  }

  leave(): Promise<BackendCounts> {
    return this.#send({ type: "leave" });
  }

  readCounts(): Promise<BackendCounts> {
    return this.#send({ type: "report" });
  }

  /** Every execution by all incarnations, also by killed ones. */
  executions(): RecordedExecution[] {
    const { executionLogFile } = this.options;
    if (!existsSync(executionLogFile)) return [];
    const lines = readFileSync(executionLogFile, "utf8")
      .split("\n")
      .filter(Boolean);
    return lines.map((line) => JSON.parse(line) as RecordedExecution);
  }

  /** Sends one command at a time, so that each reply belongs to its command. */
  #send(command: BackendCommand): Promise<BackendCounts> {
    const reply = this.#pendingCommands.then(
      () =>
        new Promise<BackendCounts>((resolve, reject) => {
          const child = this.#child;
          if (!child || !this.running) {
            reject(new Error(`${this.options.id} is not running`));
            return;
          }
          const onReply = (counts: unknown) => {
            child.off("exit", onExit);
            resolve(counts as BackendCounts);
          };
          const onExit = () => {
            child.off("message", onReply);
            reject(new Error(`${this.options.id} exited`));
          };
          child.once("message", onReply);
          child.once("exit", onExit);
          child.send(command);
        }),
    );
    this.#pendingCommands = reply.catch(() => undefined);
    return reply;
  }
}
