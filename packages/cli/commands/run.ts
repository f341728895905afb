import { Command, Option } from "clipanion";
import type { Result } from "neverthrow";
import { type DocumentFault, formatFault } from "#document";
import { loadControlSettings, loadEntrySettings } from "#settings";
import { type CliContext, createLogger } from "../context.ts";
import { EXIT } from "../exit_codes.ts";

/** Base of subcommands that run a role with a settings file. */
abstract class RunCommand extends Command<CliContext> {
  readonly settings = Option.String("--settings", {
    description: "YAML file with the settings of the process",
    required: true,
  });

  protected async runRole<T>(
    loaded: Result<T, DocumentFault[]>,
    role: (settings: T) => Promise<number>,
  ): Promise<number> {
    if (loaded.isOk()) return role(loaded.value);
    const log = createLogger(this.context);
    for (const fault of loaded.error) log.error(formatFault(fault));
    return EXIT.invalid;
  }
}

/** `mangobank entry --settings FILE` */
export class EntryCommand extends RunCommand {
  static override paths = [["entry"]];

  static override usage = Command.Usage({
    category: "Processes",
    description: "Run an entry",
    details: `
      Runs an entry until SIGTERM, which stops it gracefully. Exit codes: 0
      stopped, 1 failed, 2 invalid settings.
    `,
  });

  override async execute(): Promise<number> {
    const { roles } = this.context;
    return this.runRole(await loadEntrySettings(this.settings), (settings) =>
      roles.entry(settings),
    );
  }
}

/** `mangobank control --settings FILE` */
export class ControlCommand extends RunCommand {
  static override paths = [["control"]];

  static override usage = Command.Usage({
    category: "Processes",
    description: "Run a control host",
    details: `
      Runs a control host until SIGTERM. Exit codes: 0 stopped, 1 failed, 2
      invalid settings.
    `,
  });

  override async execute(): Promise<number> {
    const { roles } = this.context;
    return this.runRole(await loadControlSettings(this.settings), (settings) =>
      roles.control(settings),
    );
  }
}
