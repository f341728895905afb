import { BUILD, type Clock } from "#model";
import type { Hello, MessageMap, ProcessRole } from "./messages.ts";
import { type NetworkObserver, TcpNetwork } from "./network.ts";
import { PROTOCOL_VERSIONS } from "./protocol_versions.ts";

export interface LoggedNetworkOptions {
  readonly settings: { readonly id: string; readonly cluster: string };
  readonly role: ProcessRole;
  readonly incarnation: number;
  readonly clock: Clock;
  readonly logger: { warn(message: string, details?: unknown): void };
  /** Called for an exception of one of the next two. */
  readonly onFailure: (task: string, error: unknown) => void;
  readonly onConnect: (peer: Hello) => void;
  readonly onDisconnect: (peer: Hello) => void;
}

/**
 * Creates the TCP network of a process. It logs each fault that closes a
 * connection; an ordinary close is not logged.
 */
export function createLoggedNetwork<M extends MessageMap>(
  options: LoggedNetworkOptions,
): TcpNetwork<M> {
  const {
    settings,
    role,
    incarnation,
    clock,
    logger,
    onConnect,
    onDisconnect,
    onFailure,
  } = options;
  const onFault: NetworkObserver["onFault"] = (fault, link) => {
    if (fault.type === "link_closed") return;
    const { peer, isOutgoing } = link ?? {};
    logger.warn("connection closed", { peer: peer?.id, isOutgoing, fault });
  };
  const { id, cluster } = settings;
  const { oldest: version, newest: newestVersion } = PROTOCOL_VERSIONS;
  const versions = { version, newestVersion, build: BUILD };
  return new TcpNetwork<M>({
    self: { id, role, incarnation, cluster, ...versions },
    clock,
    observer: { onConnect, onDisconnect, onFault, onFailure },
  });
}
