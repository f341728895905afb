import type { Configuration, HostId, LeavingServer, View } from "#model";

/** What the agreed configuration says of servers and the hosts that share them. */
export interface PresenceConfiguration {
  /** Names of the configured services. */
  readonly services: Iterable<string>;
  /** The agreed set of entries. */
  readonly view: View;
  /** Control hosts, which take announcements, too. */
  readonly registrars?: readonly HostId[];
  readonly leaving?: readonly LeavingServer[];
}

/** The part of a configuration that an entry needs to know its servers. */
export function presenceConfiguration({
  document,
  view,
  controls,
  leaving,
}: Configuration): PresenceConfiguration {
  const services = document.services.map(({ name }) => name);
  return { services, view, registrars: controls.map(({ id }) => id), leaving };
}
