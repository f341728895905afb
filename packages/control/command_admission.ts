import type { Configuration } from "#model";
import type { PutItems, Registry, RegistryCommand } from "#registry";
import {
  configurationBytes,
  MAX_CONFIGURATION_BYTES,
} from "./configuration_size.ts";
import { hasRoomForLeave } from "./leave_room.ts";

type PendingCommands = () => readonly RegistryCommand[];

/**
 * Whether the leader may log a command behind those that are logged and not applied.
 * A host that takes a request checks the same by what it has applied, to refuse at
 * once; several orders at once each pass there that do not fit together.
 */
export function isAdmitted(
  registry: Registry,
  command: RegistryCommand,
  pending: PendingCommands,
): boolean {
  switch (command.type) {
    case "put_items": {
      const state = registry.after(pending());
      if (state.droppedTargets(command).length > 0) return false;
      return excessBytes(state, command) === undefined;
    }
    case "put_section": {
      if (registry.wasAnswered(command)) return true;
      const state = registry.after(pending());
      const next = state.configurationWithSection(command);
      if (next === undefined) return true;
      return excess(state.configuration(), next) === undefined;
    }
    case "servers_leaving": {
      const configuration = registry.after(pending()).configuration();
      // Hosts of earlier builds decide alone whether they know a server.
      const { isKnown = true } = command;
      return command.servers.every((server) =>
        hasRoomForLeave(configuration, { ...server, at: command.at }, isKnown),
      );
    }
    default:
      return true;
  }
}

/**
 * Size of the configuration that a change leads to; undefined if it fits, or if the
 * change makes it no larger: what was accepted is accepted again.
 */
export function excessBytes(
  state: {
    configuration(): Configuration;
    configurationWith(change: ItemChange): Configuration;
  },
  change: ItemChange,
): number | undefined {
  return excess(state.configuration(), state.configurationWith(change));
}

function excess(before: Configuration, after: Configuration) {
  const bytes = configurationBytes(after);
  if (bytes <= MAX_CONFIGURATION_BYTES) return undefined;
  return bytes > configurationBytes(before) ? bytes : undefined;
}

type ItemChange = Pick<PutItems, "upserts" | "removals">;
