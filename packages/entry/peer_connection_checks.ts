import type { BackendServer, Clock, HostId } from "#model";
import type { QuarantineMessages } from "#quarantine";
import { type Logger, OwnTasks } from "#telemetry";
import { afterPendingInput, type Network } from "#wire";
import { tryConnection } from "./connection_check.ts";

/** Other entries that are asked; an accident rarely covers all of them. */
const PEERS_ASKED = 3;
const CONNECT_TIMEOUT_MS = 100;
/** The time for a connection, and for the messages. */
const ANSWER_TIMEOUT_MS = 150;

/** Asks other entries whether a server accepts their connections. */
export class PeerConnectionChecks {
  readonly #network: Network<QuarantineMessages>;
  readonly #questions = new Map<number, (isReached: boolean) => void>();
  #question = 0;

  constructor(options: {
    network: Network<QuarantineMessages>;
    clock: Clock;
    logger: Logger;
  }) {
    const { network, clock } = options;
    const tasks = new OwnTasks(options);
    this.#network = network;
    network.handle("quarantine.check", ({ question, host, port }, from) => {
      const timeoutMs = CONNECT_TIMEOUT_MS;
      tasks.run("peer_connection_check", async () => {
        let isReached = false;
        try {
          const address = { host, port };
          const result = await tryConnection(address, { timeoutMs, clock });
          isReached = result === "accepted";
        } finally {
          network.send(from.id, "quarantine.checked", { question, isReached });
        }
      });
    });
    network.handle("quarantine.checked", ({ question, isReached }) => {
      this.#questions.get(question)?.(isReached);
    });
  }

  /** Resolves early as soon as one of the entries has reached the server. */
  isReached(
    { address }: BackendServer,
    peers: readonly HostId[],
  ): Promise<boolean> {
    const question = ++this.#question;
    const asked = peers
      .slice(0, PEERS_ASKED)
      .filter((peer) =>
        this.#network.send(peer, "quarantine.check", { question, ...address }),
      );
    if (asked.length === 0) return Promise.resolve(false);
    return new Promise((resolve) => {
      let unanswered = asked.length;
      const finish = (isReached: boolean) => {
        clearTimeout(timer);
        this.#questions.delete(question);
        resolve(isReached);
      };
      const timer = setTimeout(
        () => afterPendingInput(() => finish(false)),
        ANSWER_TIMEOUT_MS,
      );
      this.#questions.set(question, (isReached) => {
        unanswered -= 1;
        if (isReached || unanswered === 0) finish(isReached);
      });
    });
  }
}
