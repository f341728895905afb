import { type BackendServer, hasSameAddress } from "#model";

/**
 * A renewal is at most this much ahead of the one before. A server sends one
 * each 1.5 s, and its record ends after 9 s without any.
 */
const MAX_RENEWAL_STEP = 1_000;

/** What an announcement has changed for callers of the server. */
export type RegistrationChange = "registered" | "restarted" | "changed";

/**
 * What an accepted announcement changes; undefined for a renewal. `former` is
 * the record before it, if there was one.
 */
export function registrationChange(
  former: BackendServer | undefined,
  server: BackendServer,
): RegistrationChange | undefined {
  if (!former) return "registered";
  if (former.incarnation !== server.incarnation) return "restarted";
  const isRenewal =
    hasSameAddress(former, server) &&
    former.dataCentre === server.dataCentre &&
    former.slots === server.slots &&
    server.sequence - former.sequence <= MAX_RENEWAL_STEP;
  return isRenewal ? undefined : "changed";
}
