import {
  diffConfigurations,
  EMPTY_CONFIGURATION,
  withoutCredentials,
} from "#configuration";
import type { Configuration } from "#model";
import { encodeValue, MAX_FRAME_BYTES } from "#wire";

/** Room for what changes without operators: entries, servers that leave. */
export const RESERVED_BYTES = 128 * 1024;

/**
 * Largest configuration that items may lead to. An entry that starts gets all of it
 * in one message; if that is longer than a frame, the link is closed instead.
 */
export const MAX_CONFIGURATION_BYTES = MAX_FRAME_BYTES - RESERVED_BYTES;

/**
 * Size of the message with a whole configuration, with field names in full, as they
 * are sent to an entry of a build with another table of short names.
 */
export function configurationBytes(configuration: Configuration): number {
  const change = diffConfigurations(
    EMPTY_CONFIGURATION,
    withoutCredentials(configuration),
  );
  return encodeValue(change).length;
}
