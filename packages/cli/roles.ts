import type { ControlSettings, EntrySettings } from "#settings";
import { EXIT } from "./exit_codes.ts";

/** Runs the processes of the system; each resolves to an exit code. */
export interface Roles {
  entry(settings: EntrySettings): Promise<number>;
  control(settings: ControlSettings): Promise<number>;
}

/** The roles of this build. */
export const ROLES: Roles = {
  entry: () => notBuilt("entry"),
  control: () => notBuilt("control"),
};

async function notBuilt(role: string): Promise<number> {
  console.error(`this build does not have the role ${role}`);
  return EXIT.failed;
}
