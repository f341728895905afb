import type { InventoryMessages } from "#configuration";
import type { BackendServer, HostId } from "#model";
import type { Network } from "#wire";

/** An entry that has not answered by then is passed over. */
const ANSWER_TIMEOUT_MS = 1_000;

interface Question {
  readonly servers: BackendServer[];
  readonly answered: () => void;
}

/** Asks entries for the backend servers, which control does not track. */
export class Inventory {
  readonly #network: Network<InventoryMessages>;
  readonly #questions = new Map<number, Question>();
  #count = 0;

  constructor(network: Network<InventoryMessages>) {
    this.#network = network;
    network.handle("servers_answer", ({ question, servers, more }) => {
      const asked = this.#questions.get(question);
      if (!asked) return;
      asked.servers.push(...servers);
      if (!more) asked.answered();
    });
  }

  /** The answer of the first entry that gives one; none if no entry does. */
  async ask(entries: readonly HostId[]): Promise<readonly BackendServer[]> {
    for (const entry of entries) {
      const servers = await this.#askOne(entry);
      if (servers) return servers;
    }
    return [];
  }

  #askOne(entry: HostId): Promise<readonly BackendServer[] | undefined> {
    this.#count += 1;
    const question = this.#count;
    return new Promise((resolve) => {
      const servers: BackendServer[] = [];
      const end = (result: readonly BackendServer[] | undefined) => {
        clearTimeout(timer);
        this.#questions.delete(question);
        resolve(result);
      };
      const timer = setTimeout(() => end(undefined), ANSWER_TIMEOUT_MS);
      this.#questions.set(question, { servers, answered: () => end(servers) });
      if (!this.#network.send(entry, "servers_ask", { question })) {
        end(undefined);
      }
    });
  }
}
