import { type ChildProcess, spawn } from "node:child_process";
import {
  cpSync,
  createWriteStream,
  mkdirSync,
  readdirSync,
  readFileSync,
} from "node:fs";
import { join } from "node:path";
import { v4 as uuid } from "uuid";
import { parse } from "yaml";
import { type Address, SystemClock } from "#model";
import { OperatorClient } from "#operators";
import {
  type ControlSettings,
  type EntrySettings,
  parseControlSettings,
  parseEntrySettings,
} from "#settings";
import { until } from "./until.ts";

export interface SiteProcessesOptions {
  /** Folder of an example: `settings/`, `sections/`, `credentials/`. */
  readonly example: string;
  /** Receives a copy of the example, the data folders and the logs. */
  readonly folder: string;
  /** Command that runs `mangobank`. */
  readonly command: readonly string[];
  /** Number of entries to start; all of the example if absent. */
  readonly entries?: number;
}

/** A site with the settings of an example, one process for each host. */
export class SiteProcesses {
  readonly entries: readonly EntrySettings[];
  readonly controls: readonly ControlSettings[];
  readonly #options: SiteProcessesOptions;
  readonly #running = new Map<string, ChildProcess>();

  constructor(options: SiteProcessesOptions) {
    this.#options = options;
    cpSync(options.example, options.folder, { recursive: true });
    const settings = join(options.folder, "settings");
    const files = readdirSync(settings).sort();
    const read = (file: string) => readFileSync(join(settings, file), "utf8");
    this.entries = files
      .filter((file) => file.startsWith("entry-"))
      .slice(0, options.entries)
      .map((file) => parseEntrySettings(file, read(file))._unsafeUnwrap());
    this.controls = files
      .filter((file) => file.startsWith("control-"))
      .map((file) => parseControlSettings(file, read(file))._unsafeUnwrap());
  }

  /** Starts all processes and resolves when each entry is ready for calls. */
  async start(): Promise<void> {
    for (const { id } of this.controls) this.startHost("control", id);
    for (const { id } of this.entries) this.startHost("entry", id);
    await this.#putSections();
    await until(() => this.#allReady(), { what: "entries are ready" });
  }

  /** Starts or restarts the process of a host. */
  startHost(role: "control" | "entry", id: string): void {
    const { command, folder } = this.#options;
    const [program = "", ...programArguments] = command;
    const settings = join(folder, "settings", `${id}.yaml`);
    const child = spawn(
      program,
      [...programArguments, role, "--settings", settings],
      {
        stdio: ["ignore", "pipe", "pipe"],
      },
    );
    const log = createWriteStream(join(folder, `${id}.log`), { flags: "a" });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once("close", () => log.end());
    this.#running.set(id, child);
    process.once("exit", () => child.kill("SIGKILL"));
  }

  signal(id: string, signal: NodeJS.Signals): void {
    this.#running.get(id)?.kill(signal);
  }

  /** Process id of a host, if it was started. */
  pid(id: string): number | undefined {
    return this.#running.get(id)?.pid;
  }

  /** Resolves when the process of a host has ended; at once if none runs. */
  waitForExit(id: string): Promise<void> {
    const child = this.#running.get(id);
    if (!child || child.exitCode !== null || child.signalCode !== null) {
      return Promise.resolve();
    }
    return new Promise((resolve) => child.once("exit", () => resolve()));
  }

  /** A client of the operator API, with the credential of that name. */
  operator(credential: string): OperatorClient {
    return new OperatorClient({
      control: this.controls.map(({ http }) => http),
      credential: this.credential(credential),
      clock: new SystemClock(),
    });
  }

  credential(name: string): string {
    const file = join(this.#options.folder, "credentials", `${name}.key`);
    return readFileSync(file, "utf8").trim();
  }

  sectionText(name: string): string {
    const file = join(this.#options.folder, "sections", `${name}.yaml`);
    return readFileSync(file, "utf8");
  }

  /** Entry addresses with which callers and backend servers are configured. */
  get seeds(): Address[] {
    return this.entries.map(({ http }) => http);
  }

  /** Kills every process that still runs. */
  async close(): Promise<void> {
    for (const child of this.#running.values()) child.kill("SIGKILL");
    await Promise.all(
      [...this.#running.keys()].map((id) => this.waitForExit(id)),
    );
    this.#keepLogs();
  }

  /** Copies the logs to MANGOBANK_KEEP_LOGS, to explain a failed test later. */
  #keepLogs(): void {
    const logsFolder = process.env.MANGOBANK_KEEP_LOGS;
    if (!logsFolder) return;
    const { folder } = this.#options;
    const to = join(logsFolder, `${process.pid}-${Date.now()}`);
    mkdirSync(to, { recursive: true });
    for (const file of readdirSync(folder)) {
      if (file.endsWith(".log")) cpSync(join(folder, file), join(to, file));
    }
  }

  async #putSections(): Promise<void> {
    await this.#put("system", "system");
    for (const [section, credential] of this.#sectionOwners()) {
      await this.#put(section, credential);
    }
  }

  /** Sections with the team that owns them; its credential has its name. */
  #sectionOwners(): [string, string][] {
    const system = parse(this.sectionText("system")) as {
      sections: Record<string, string>;
    };
    return Object.entries(system.sections);
  }

  async #put(section: string, credential: string): Promise<void> {
    const put = await this.operator(credential).put(section, {
      text: this.sectionText(section),
      revision: 0,
      changeId: uuid(),
    });
    if (put.isErr()) {
      throw new Error(`put ${section}: ${JSON.stringify(put.error)}`);
    }
  }

  async #allReady(): Promise<boolean> {
    const answers = await Promise.all(
      this.entries.map(({ metrics }) =>
        fetch(`http://${metrics.host}:${metrics.port}/readyz`)
          .then(({ ok }) => ok)
          .catch(() => false),
      ),
    );
    return answers.every((ready) => ready);
  }
}
