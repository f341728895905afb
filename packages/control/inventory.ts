import type { InventoryMessages } from "#configuration";
import type { BackendServer, HostId } from "#model";
import type { Network } from "#wire";

/** Time after which the next entry is queried instead. */
const ANSWER_TIMEOUT_MS = 1_000;

/** A query to an entry, whose answer arrives in several messages. */
interface PendingQuery {
  readonly servers: BackendServer[];
  readonly complete: () => void;
}

/** Queries entries for the backend servers, as control does not track them. */
export class ServerInventory {
  readonly #network: Network<InventoryMessages>;
  readonly #queries = new Map<number, PendingQuery>();
  #lastQueryNumber = 0;

  constructor(network: Network<InventoryMessages>) {
    this.#network = network;
    network.handle("servers_answer", ({ question, servers, more }) => {
      const query = this.#queries.get(question);
      if (!query) return;
      query.servers.push(...servers);
      if (!more) query.complete();
    });
  }

  /** Returns the servers from the first entry that answers; [] if none does. */
  async fetchServers(
    entries: readonly HostId[],
  ): Promise<readonly BackendServer[]> {
    for (const entry of entries) {
      const servers = await this.#fetchFrom(entry);
      if (servers) return servers;
    }
    return [];
  }

  #fetchFrom(entry: HostId): Promise<readonly BackendServer[] | undefined> {
    this.#lastQueryNumber += 1;
    const queryNumber = this.#lastQueryNumber;
    return new Promise((resolve) => {
      const servers: BackendServer[] = [];
      const finish = (result: readonly BackendServer[] | undefined) => {
        clearTimeout(timer);
        this.#queries.delete(queryNumber);
        resolve(result);
      };
      const timer = setTimeout(() => finish(undefined), ANSWER_TIMEOUT_MS);
      this.#queries.set(queryNumber, {
        servers,
        complete: () => finish(servers),
      });
      if (
        !this.#network.send(entry, "servers_ask", { question: queryNumber })
      ) {
        finish(undefined);
      }
    });
  }
}
