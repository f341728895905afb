import { Cli } from "clipanion";
import { SystemClock } from "#model";
import { createProgram } from "./program.ts";
import { ROLES } from "./roles.ts";

void createProgram().runExit(process.argv.slice(2), {
  ...Cli.defaultContext,
  roles: ROLES,
  clock: new SystemClock(),
});
