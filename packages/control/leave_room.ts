import type { Configuration, LeavingServer } from "#model";
import { LEAVING_RETENTION_MS } from "#registry";
import { encodeValue, MAX_FRAME_BYTES } from "#wire";
import { configurationBytes, RESERVED_BYTES } from "./configuration_size.ts";

/**
 * Most that the recorded leaves may take for one of an id that no host knows: half
 * of what changes of items leave free. Any program can name such ids.
 */
export const MAX_LEAVES_BYTES = RESERVED_BYTES / 2;

/**
 * Largest configuration that a leave of a known server may lead to. The rest is for
 * entries that join, and for leaves that other hosts take at the same time.
 */
export const MAX_BYTES_WITH_LEAVE = MAX_FRAME_BYTES - 32 * 1024;

/**
 * Whether the recorded leaves have room for another one of any id. One that replaces
 * an earlier leave of its id takes no room.
 */
function hasLeaveRoom(
  leaving: readonly LeavingServer[],
  leave: LeavingServer,
): boolean {
  if (leaving.some(({ id }) => id === leave.id)) return true;
  const bytes = encodeValue([...remembered(leaving, leave.at), leave]).length;
  return bytes <= MAX_LEAVES_BYTES;
}

/** Whether a leave may be recorded; one of a server that no host knows has less room. */
export function hasRoomForLeave(
  configuration: Configuration,
  leave: LeavingServer,
  isKnown: boolean,
): boolean {
  if (hasLeaveRoom(configuration.leaving, leave)) return true;
  return isKnown && hasConfigurationRoom(configuration, leave);
}

/** Whether the configuration has room for a leave of a known server. */
function hasConfigurationRoom(
  configuration: Configuration,
  leave: LeavingServer,
): boolean {
  const leaving = [...remembered(configuration.leaving, leave.at), leave];
  const bytes = configurationBytes({ ...configuration, leaving });
  return bytes <= MAX_BYTES_WITH_LEAVE;
}

/**
 * The leaves that stay recorded beside one of `at`. The registry takes the latest
 * time of all commands, so that a host whose clock is behind must not count by it.
 */
function remembered(
  leaving: readonly LeavingServer[],
  at: number,
): readonly LeavingServer[] {
  const latest = leaving.reduce((time, { at }) => Math.max(time, at), at);
  return leaving.filter(({ at }) => latest - at < LEAVING_RETENTION_MS);
}
