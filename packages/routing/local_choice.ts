import type { DataCentre, Randomness } from "#model";
import type { SampleSet } from "./sample_set.ts";
import type { ServerState } from "./server_state.ts";

/** Draws per choice; more only help when most servers are excluded. */
const MAX_DRAWS = 8;
/** Extra cost of a server in another data centre, as a share of its load. */
const REMOTE_PENALTY = 0.25;

export interface ChoiceOptions {
  readonly exclude: ReadonlySet<string>;
  readonly dataCentre: DataCentre;
  readonly random: Randomness;
  readonly now: number;
}

/**
 * Two choices: of two random servers the one with less expected work, by own
 * calls in flight plus the last reported load, times the average service time.
 */
export function chooseLocally(
  servers: SampleSet<ServerState>,
  options: ChoiceOptions,
): ServerState | undefined {
  let best: ServerState | undefined;
  let found = 0;
  for (let draw = 0; draw < MAX_DRAWS && found < 2; draw++) {
    const server = servers.at(options.random.below(servers.size));
    if (!server || options.exclude.has(server.record.id)) continue;
    if (server === best) continue;
    found += 1;
    if (!best || expectedCost(server, options) < expectedCost(best, options))
      best = server;
  }
  return best ?? firstAllowed(servers, options.exclude);
}

function expectedCost(server: ServerState, options: ChoiceOptions): number {
  const calls = server.inFlight + server.othersInFlight(options.now) + 1;
  const load = calls / server.limit;
  const remote = server.record.dataCentre !== options.dataCentre;
  const slowdown = server.isSlow(options.now) ? server.slowdown : 1;
  const share = load + (remote ? REMOTE_PENALTY : 0);
  return share * (server.latencyMs || 1) * slowdown;
}

/** Finds the server that random draws missed among mostly excluded ones. */
function firstAllowed(
  servers: SampleSet<ServerState>,
  exclude: ReadonlySet<string>,
): ServerState | undefined {
  return servers.items().find((server) => !exclude.has(server.record.id));
}
