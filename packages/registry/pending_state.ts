import type { Document, LeavingServer } from "#model";
import type { RegistryCommand } from "./commands.ts";
import { withItems } from "./item_document.ts";
import type { ItemFault, ItemTable, PutItems } from "./items.ts";
import { LeavingServers } from "./leaving.ts";
import type { RegistryConfiguration } from "./planner.ts";

type ItemChange = Pick<PutItems, "upserts" | "removals">;

/**
 * The items and leaves as they will be after commands that are logged and not applied
 * yet. What a further command may add depends on these, as those commands are applied
 * before it on every replica.
 */
export class PendingState {
  readonly #items: ItemTable;
  readonly #leaving = new LeavingServers();
  readonly #configuration: RegistryConfiguration;
  /** The document without items. */
  readonly #sectionsDocument: Document;

  constructor(applied: {
    readonly items: ItemTable;
    readonly leaving: readonly LeavingServer[];
    readonly configuration: RegistryConfiguration;
    readonly sectionsDocument: Document;
  }) {
    this.#items = applied.items.copy();
    this.#leaving.restore(applied.leaving);
    this.#configuration = applied.configuration;
    this.#sectionsDocument = applied.sectionsDocument;
  }

  /** Applies a command as replicas do, as far as items and leaves depend on it. */
  apply(command: RegistryCommand): void {
    if (command.type === "put_items") {
      if (this.#items.check(command).length === 0) this.#items.apply(command);
    } else if (command.type === "servers_leaving") {
      const { servers, at } = command;
      for (const server of servers) this.#leaving.add({ ...server, at });
    }
  }

  /** The configuration for the entries. */
  configuration(): RegistryConfiguration {
    return this.#configurationOf(this.#items);
  }

  /** The same after a change that passed the check. */
  configurationWith(change: ItemChange): RegistryConfiguration {
    return this.#configurationOf(this.#items.with(change));
  }

  /** Routes of a change to services that a newer change has dropped. */
  droppedTargets(change: Pick<PutItems, "upserts">): ItemFault[] {
    return this.#items.droppedTargets(change);
  }

  #configurationOf(items: ItemTable): RegistryConfiguration {
    const document = withItems(this.#sectionsDocument, items);
    const leaving = this.#leaving.all();
    return { ...this.#configuration, document, leaving };
  }
}
