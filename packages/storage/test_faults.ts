import { hostOf, type Membership } from "#agreement";
import type { SimulatedHost, Simulation } from "./test_simulation.ts";

/** Faults of a host after which it is back with its disk. */
export const PASSING_FAULTS = [
  "crash",
  "long_crash",
  "freeze",
  "cut",
  "cut_from_others",
  "cut_to_others",
  "full_disk",
  "stalled_disk",
] as const;

export type PassingFault = (typeof PASSING_FAULTS)[number];

const SHORT_MS = 500;
const LONG_MS = 3_000;

/** Makes a fault of a host; returns after how many milliseconds it is over. */
export function makeFault(
  s: Simulation,
  host: SimulatedHost,
  kind: PassingFault,
): number {
  const forMs = kind === "crash" ? SHORT_MS : LONG_MS;
  switch (kind) {
    case "crash":
    case "long_crash":
      s.crash(host);
      s.at(forMs, () => s.start(host));
      break;
    case "freeze":
      s.freeze(host, forMs);
      break;
    case "full_disk":
      s.fillDisk(host, "none", forMs);
      break;
    case "stalled_disk":
      host.stalledUntil = s.now + forMs;
      break;
    default:
      cut(s, host, { kind, forMs });
  }
  return forMs;
}

function cut(
  s: Simulation,
  host: SimulatedHost,
  { kind, forMs }: { kind: PassingFault; forMs: number },
): void {
  const pairs = s.hosts.flatMap(({ id }) => {
    if (id === host.id) return [];
    const from = kind === "cut_to_others" ? [] : [`${id}>${host.id}`];
    const to = kind === "cut_from_others" ? [] : [`${host.id}>${id}`];
    return [...from, ...to];
  });
  for (const pair of pairs) s.blocked.add(pair);
  s.at(forMs, () => {
    for (const pair of pairs) s.blocked.delete(pair);
  });
}

/**
 * Whether a majority of the voters keeps its data without a host's disk, in each
 * membership that a host has; false before any has formed.
 */
export function mayLoseDisk(s: Simulation, host: SimulatedHost): boolean {
  const statuses = s.hosts.flatMap(({ core }) => core?.status(s.now) ?? []);
  const formed = statuses.filter(({ phase }) => phase === "formed");
  const running = s.hosts.filter(({ isRemoved }) => !isRemoved);
  // A host that is closed may have one that no other host has yet.
  const stored = running.flatMap(({ disk }) => storedMembership(disk));
  const memberships = formed.map(({ membership }) => membership);
  const lost = s.memberKeyOf(host);
  return (
    formed.length > 0 &&
    [...memberships, ...stored].every(({ voters }) => {
      const kept = voters.filter((member) => {
        const isGone = s.host(hostOf(member))?.isRemoved;
        return member !== lost && !isGone && !s.isDataLost(member);
      });
      return kept.length > voters.length / 2;
    })
  );
}

/** The newest membership on a disk, if it has one. */
function storedMembership(disk: SimulatedHost["disk"]): Membership[] {
  const { entries, snapshot, founding } = disk.state();
  const newest = entries.findLast(({ membership }) => membership)?.membership;
  if (newest) return [newest];
  if (snapshot) return [snapshot.membership];
  return founding?.formed ? [{ voters: founding.members, learners: [] }] : [];
}
