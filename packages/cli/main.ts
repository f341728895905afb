import { Builtins, Cli } from "clipanion";
import { VERSION } from "./version.ts";

const cli = new Cli({
  binaryName: "mangobank",
  binaryLabel: "mangobank load balancer",
  binaryVersion: VERSION,
});
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
void cli.runExit(process.argv.slice(2));
