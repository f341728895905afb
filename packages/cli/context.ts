import type { BaseContext } from "clipanion";
import { type ConsolaInstance, createConsola } from "consola";
import type { Clock } from "#model";
import type { RoleRunners } from "./roles.ts";

/** Context that the program passes to each subcommand. */
export interface CliContext extends BaseContext {
  readonly roles: RoleRunners;
  readonly clock: Clock;
}

/** Creates a logger to standard error, as standard output is for results. */
export function createLogger({ stderr }: BaseContext): ConsolaInstance {
  const stream = stderr as NodeJS.WriteStream;
  return createConsola({ stdout: stream, stderr: stream });
}
