import type {
  ConsensusMessages,
  ConsensusNetwork,
  ConsensusStorage,
  ReplicatedLog,
  StateMachine,
} from "#agreement";
import { type Clock, SystemClock, SystemRandomness } from "#model";
import { openReplicatedLog } from "./replicated_log.ts";

type Handler = (payload: unknown, from: { id: string }) => void;

/** An in-process network between members, for tests. */
export class InMemoryNetworkHub {
  readonly #handlers = new Map<string, Map<string, Handler>>();
  readonly #isolatedHosts = new Set<string>();

  networkOf(self: string): ConsensusNetwork {
    const handlers = new Map<string, Handler>();
    this.#handlers.set(self, handlers);
    return {
      send: (to, kind, payload) => this.#send(self, to, { kind, payload }),
      handle: <K extends keyof ConsensusMessages>(
        kind: K,
        handler: (payload: ConsensusMessages[K], from: { id: string }) => void,
      ) => handlers.set(kind, handler as Handler),
    };
  }

  /** Drops all messages from and to a host without reporting a failure. */
  isolate(host: string): void {
    this.#isolatedHosts.add(host);
  }

  #send(
    from: string,
    to: string,
    message: { kind: string; payload: unknown },
  ): boolean {
    if (!this.#handlers.has(to)) return false;
    if (this.#isolatedHosts.has(from) || this.#isolatedHosts.has(to))
      return true;
    const payload = structuredClone(message.payload);
    setImmediate(() => {
      this.#handlers.get(to)?.get(message.kind)?.(payload, { id: from });
    });
    return true;
  }
}

/** A state machine that stores its commands and replies with their count. */
export class ListStateMachine implements StateMachine<string, number> {
  commands: string[] = [];

  apply(_index: number, command: string): number {
    return this.commands.push(command);
  }

  snapshot(): Uint8Array {
    return Buffer.from(JSON.stringify(this.commands));
  }

  restore(bytes: Uint8Array): void {
    this.commands = JSON.parse(Buffer.from(bytes).toString());
  }
}

const ignore = () => undefined;
const SILENT_LOGGER = { info: ignore, warn: ignore, error: ignore };

export interface TestHost {
  readonly log: ReplicatedLog<string, number>;
  readonly machine: ListStateMachine;
}

/** Starts a member whose state machine is a `ListStateMachine`. */
export async function openTestHost(options: {
  self: string;
  founders: readonly string[];
  network: ConsensusNetwork;
  storage: ConsensusStorage;
  clock?: Clock;
}): Promise<TestHost> {
  const machine = new ListStateMachine();
  const log = await openReplicatedLog({
    clock: new SystemClock(),
    ...options,
    machine,
    randomness: new SystemRandomness(),
    logger: SILENT_LOGGER,
  });
  return { log: log._unsafeUnwrap(), machine };
}
