import { Builtins, Cli } from "clipanion";
import { CheckCommand } from "./commands/check.ts";
import {
  AddMemberCommand,
  MembersCommand,
  RemoveMemberCommand,
} from "./commands/members.ts";
import {
  DocumentCommand,
  HostsCommand,
  ServersCommand,
  StatusCommand,
  StopsCommand,
} from "./commands/observe.ts";
import { ReportCommand } from "./commands/report.ts";
import { ControlCommand, EntryCommand } from "./commands/run.ts";
import { GetCommand, HistoryCommand, PutCommand } from "./commands/sections.ts";
import type { CliContext } from "./context.ts";
import { VERSION } from "./version.ts";

/** All subcommands of `mangobank`. */
export const COMMANDS = [
  CheckCommand,
  PutCommand,
  GetCommand,
  HistoryCommand,
  DocumentCommand,
  StatusCommand,
  HostsCommand,
  ServersCommand,
  StopsCommand,
  ReportCommand,
  MembersCommand,
  AddMemberCommand,
  RemoveMemberCommand,
  EntryCommand,
  ControlCommand,
] as const;

/** Creates the command-line interface with all subcommands. */
export function createProgram(): Cli<CliContext> {
  const cli = new Cli<CliContext>({
    binaryName: "mangobank",
    binaryLabel: "mangobank load balancer",
    binaryVersion: VERSION,
  });
  for (const command of COMMANDS) cli.register(command);
  cli.register(Builtins.HelpCommand);
  cli.register(Builtins.VersionCommand);
  return cli;
}
