import type { BaseContext } from "clipanion";
import { type ConsolaInstance, createConsola } from "consola";
import type { Clock } from "#model";
import type { Roles } from "./roles.ts";

/** What the subcommands get from the program. */
export interface CliContext extends BaseContext {
  readonly roles: Roles;
  readonly clock: Clock;
}

/** Logs to standard error, because standard output is for results. */
export function createLog({ stderr }: BaseContext): ConsolaInstance {
  const stream = stderr as NodeJS.WriteStream;
  return createConsola({ stdout: stream, stderr: stream });
}
