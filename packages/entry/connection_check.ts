import { connect, type Socket } from "node:net";
import type { Address, Clock } from "#model";
import type { ConnectionResult } from "#reachability";
import { afterPendingInput } from "#wire";

/** Delay of a timer from which on this process was paused. */
const STALL_MS = 50;

/** Opens a connection to an address and closes it at once. */
export function tryConnection(
  address: Address,
  { timeoutMs, clock }: { timeoutMs: number; clock: Clock },
): Promise<ConnectionResult> {
  return new Promise((resolve) => {
    const startedAt = clock.now();
    const socket = openSocket(address);
    if (!socket) {
      resolve("failed");
      return;
    }
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

/** Begins to connect; undefined if Node cannot use the address. */
function openSocket({ host, port }: Address): Socket | undefined {
  try {
    return connect({ host, port });
  } catch {
    return undefined;
  }
}
