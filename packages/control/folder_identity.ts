import { founderIdentity } from "#agreement";
import type { ControlSettings } from "#settings";
import { newIdentity } from "#storage";

/**
 * Identity of a data folder that is empty: at the first start of the system, that of a
 * founder on each seed; a random one otherwise.
 */
export function createFolderIdentity({
  id,
  discovery,
}: ControlSettings): string {
  const seeds = discovery?.seeds.map((seed) => seed.id) ?? [];
  const isFounder = discovery?.mayFound && seeds.includes(id);
  return isFounder ? founderIdentity(seeds) : newIdentity();
}
