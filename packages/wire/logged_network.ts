import {
  BUILD,
  type Clock,
  type MessageDecoders,
  type Randomness,
} from "#model";
import { LineLimiter } from "#telemetry";
import type { LinkFault } from "./link.ts";
import type { Hello, MessageMap, ProcessRole } from "./messages.ts";
import { type NetworkObserver, TcpNetwork } from "./network.ts";
import { PROTOCOL_VERSIONS } from "./protocol_versions.ts";
import { RefusedMessages } from "./refused_messages.ts";

export interface LoggedNetworkOptions<M extends MessageMap> {
  readonly decoders: MessageDecoders<M>;
  readonly settings: { readonly id: string; readonly cluster: string };
  readonly role: ProcessRole;
  readonly incarnation: number;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly logger: { warn(message: string, details?: unknown): void };
  /** Called for an exception of one of the next two. */
  readonly onFailure: (task: string, error: unknown) => void;
  readonly onConnect: (peer: Hello) => void;
  readonly onDisconnect: (peer: Hello, fault: LinkFault) => void;
}

/**
 * Creates the TCP network of a process. It logs each fault that closes a
 * connection, except an ordinary close, and messages that were refused.
 */
export function createLoggedNetwork<M extends MessageMap>(
  options: LoggedNetworkOptions<M>,
): TcpNetwork<M> {
  const {
    decoders,
    settings,
    role,
    incarnation,
    clock,
    randomness,
    logger,
    onConnect,
    onDisconnect,
    onFailure,
  } = options;
  const lines = new LineLimiter();
  const onFault: NetworkObserver["onFault"] = (fault, link) => {
    if (fault.type === "link_closed") return;
    const { peer, isOutgoing } = link ?? {};
    const key = `${fault.type} ${peer?.id}`;
    const omitted = lines.admit(key, clock.now());
    if (omitted === undefined) return;
    logger.warn("connection closed", {
      peer: peer?.id,
      isOutgoing,
      fault,
      ...(omitted > 0 && { omitted }),
    });
  };
  const refused = new RefusedMessages({ clock, logger });
  const onRefused: NetworkObserver["onRefused"] = (refusal, peer) =>
    refused.record(refusal, peer);
  const { id, cluster } = settings;
  const { oldest: version, newest: newestVersion } = PROTOCOL_VERSIONS;
  const versions = { version, newestVersion, build: BUILD };
  return new TcpNetwork<M>({
    self: { id, role, incarnation, cluster, ...versions },
    clock,
    randomness,
    decoders,
    observer: { onConnect, onDisconnect, onFault, onRefused, onFailure },
  });
}
