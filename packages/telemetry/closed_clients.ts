import { Counter, type Registry } from "prom-client";
import type { ClientLimit } from "#client_limits";
import type { Clock } from "#model";
import type { Logger } from "./logger.ts";

/** Shortest time between two lines; the connections between are counted. */
const LINE_INTERVAL_MS = 1_000;

/** Connections closed since the start of the process, by limit. */
const closedByLimit = new Map<ClientLimit, number>();

/**
 * Returns a callback that counts and logs the client connections that are closed
 * for a limit; at most one line a second.
 */
export function closedClients(
  logger: Logger,
  clock: Clock,
): (closed: {
  readonly limit: ClientLimit;
  readonly address: string | undefined;
  readonly heldBytes: number;
}) => void {
  let lastLineAt = Number.NEGATIVE_INFINITY;
  let unlogged = 0;
  return (closed) => {
    const count = closedByLimit.get(closed.limit) ?? 0;
    closedByLimit.set(closed.limit, count + 1);
    const now = clock.now();
    if (now - lastLineAt < LINE_INTERVAL_MS) {
      unlogged += 1;
      return;
    }
    logger.warn("client connection closed", { ...closed, before: unlogged });
    lastLineAt = now;
    unlogged = 0;
  };
}

/** Registers the counter of closed connections of the process. */
export function registerClosedClients(registry: Registry): void {
  new Counter({
    name: "mangobank_closed_clients_total",
    help: "Client connections closed because a limit was reached",
    labelNames: ["limit"],
    registers: [registry],
    collect() {
      this.reset();
      for (const [limit, count] of closedByLimit) this.inc({ limit }, count);
    },
  });
}
