import { type HostId, hash32 } from "#model";
import type { ClusterBinding } from "./effects.ts";
import { memberKey } from "./members.ts";

/**
 * Identity of the data folder that a seed creates at the first start of a system. All
 * seeds are told the same list then, so that each knows the founding voters, itself
 * among them, without asking the others. A folder that is created later, as after the
 * loss of a disk, gets a random identity and is none of them.
 */
export function founderIdentity(seeds: readonly HostId[]): string {
  const hosts = [...new Set(seeds)].sort().join(" ");
  return `founder-${hash32(hosts).toString(16).padStart(8, "0")}`;
}

/** The cluster that the seeds of a system found at its first start. */
export function foundingBinding(seeds: readonly HostId[]): ClusterBinding {
  const identity = founderIdentity(seeds);
  const members = [...new Set(seeds)]
    .sort()
    .map((host) => memberKey(host, identity));
  const [convener = ""] = members;
  const cluster = `${convener}#1`;
  return { cluster, convener, attempt: 1, members, formed: true };
}
