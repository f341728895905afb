import { connect } from "node:net";
import type { Address, Clock } from "#model";
import type { ConnectionResult } from "#reachability";
import { afterPendingInput } from "#wire";

/** Delay of a timer from which on this process was paused. */
const STALL_MS = 50;

/** Opens a connection to an address and closes it at once. */
export function tryConnection(
  { host, port }: Address,
  { timeoutMs, clock }: { timeoutMs: number; clock: Clock },
): Promise<ConnectionResult> {
  return new Promise((resolve) => {
    const startedAt = clock.now();
    const socket = connect({ host, port });
    const finish = (result: ConnectionResult) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(result);
    };
    const timer = setTimeout(() => {
      const isStalled = clock.now() - startedAt > timeoutMs + STALL_MS;
      afterPendingInput(() => finish(isStalled ? "unknown" : "failed"));
    }, timeoutMs);
    socket.once("connect", () => finish("accepted"));
    socket.once("error", () => finish("failed"));
  });
}
