import { type BackendServerId, hash32 } from "#model";

/** Time for which a server keeps an exploration limit. */
const EXPLORATION_MS = 2_000;
/** One server in this many explores another limit at a time. */
const SERVERS_PER_EXPLORATION = 6;

/**
 * The concurrency limit that a server explores now, if it is its turn. Under a
 * steady overload all servers run the same number of calls, which tells nothing
 * about other limits. Therefore some servers try another one, from half of
 * their slots to all of them.
 */
export function explorationLimit(
  server: { readonly id: BackendServerId; readonly slots: number },
  now: number,
): number | undefined {
  const { id, slots } = server;
  if (slots < 2) return undefined;
  const period = Math.floor(now / EXPLORATION_MS);
  const draw = hash32(`${id} ${period}`);
  if (draw % SERVERS_PER_EXPLORATION !== 0) return undefined;
  const lowest = Math.ceil(slots / 2);
  const choices = slots - lowest + 1;
  return lowest + (Math.floor(draw / SERVERS_PER_EXPLORATION) % choices);
}
