import type { DataCentre, Randomness } from "#model";
import type { SampleSet } from "./sample_set.ts";
import type { ServerState } from "./server_state.ts";

/**
 * Random draws per choice; more than two only help when servers are excluded.
 */
const MAX_DRAWS = 8;
/** Extra load that counts against a server in another data centre. */
const REMOTE_PENALTY = 0.25;

export interface ChoiceOptions {
  readonly exclude: ReadonlySet<string>;
  readonly dataCentre: DataCentre;
  readonly random: Randomness;
  readonly now: number;
}

/**
 * Power of two choices: of two random servers, picks the one with less expected
 * work, by the calls in flight from this entry plus the last reported load,
 * times the average service time.
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

/**
 * The first server that is not excluded, in case the random draws missed it.
 */
function firstAllowed(
  servers: SampleSet<ServerState>,
  exclude: ReadonlySet<string>,
): ServerState | undefined {
  return servers.items().find((server) => !exclude.has(server.record.id));
}
