import { type BackendServerId, hash32 } from "#model";

/** Time for which a server keeps to a limit on trial. */
const TRIAL_MS = 2_000;
/** One server in so many is on trial at a time. */
const SERVERS_PER_TRIAL = 6;

/**
 * The limit that a server is on trial with, if it is. Under a steady overload
 * all servers run the same number of calls, which tells nothing of other
 * limits; some servers therefore try one, from half of the slots to all.
 */
export function limitOnTrial(
  server: { readonly id: BackendServerId; readonly slots: number },
  now: number,
): number | undefined {
  const { id, slots } = server;
  if (slots < 2) return undefined;
  const turn = Math.floor(now / TRIAL_MS);
  const draw = hash32(`${id} ${turn}`);
  if (draw % SERVERS_PER_TRIAL !== 0) return undefined;
  const least = Math.ceil(slots / 2);
  const choices = slots - least + 1;
  return least + (Math.floor(draw / SERVERS_PER_TRIAL) % choices);
}
