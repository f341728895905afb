import { mergeSections, parseSection, type Section } from "#document";
import type { Document, LeavingServer } from "#model";
import type { PutSection, RegistryCommand } from "./commands.ts";
import { withItems } from "./item_document.ts";
import type { ItemFault, ItemTable, PutItems } from "./items.ts";
import { LeavingServers } from "./leaving.ts";
import type { RegistryConfiguration } from "./planner.ts";

type ItemChange = Pick<PutItems, "upserts" | "removals">;

/**
 * The sections, items and leaves as they will be after commands that are logged and not applied
 * yet. What a further command may add depends on these, as those commands are applied
 * before it on every replica.
 */
export class PendingState {
  readonly #items: ItemTable;
  readonly #leaving = new LeavingServers();
  readonly #configuration: RegistryConfiguration;
  #sections: ReadonlyMap<string, Section>;
  /** The document without items. */
  #sectionsDocument: Document;

  constructor(applied: {
    readonly items: ItemTable;
    readonly leaving: readonly LeavingServer[];
    readonly configuration: RegistryConfiguration;
    readonly sections: ReadonlyMap<string, Section>;
    readonly sectionsDocument: Document;
  }) {
    this.#items = applied.items.copy();
    this.#leaving.restore(applied.leaving);
    this.#configuration = applied.configuration;
    this.#sections = applied.sections;
    this.#sectionsDocument = applied.sectionsDocument;
  }

  /**
   * Applies a command as replicas do, as far as sections, items and leaves depend on
   * it. A section counts as changed also if replicas will refuse it to its actor.
   */
  apply(command: RegistryCommand): void {
    if (command.type === "put_items") {
      if (this.#items.check(command).length === 0) this.#items.apply(command);
    } else if (command.type === "servers_leaving") {
      const { servers, at } = command;
      for (const server of servers) this.#leaving.add({ ...server, at });
    } else if (command.type === "put_section") {
      const changed = this.#withSection(command);
      if (!changed) return;
      this.#sections = changed.sections;
      this.#sectionsDocument = changed.document;
    }
  }

  /** The configuration for the entries. */
  configuration(): RegistryConfiguration {
    return this.#configurationOf(this.#items, this.#sectionsDocument);
  }

  /** The same after a change that passed the check. */
  configurationWith(change: ItemChange): RegistryConfiguration {
    return this.#configurationOf(
      this.#items.with(change),
      this.#sectionsDocument,
    );
  }

  /** The same after a change of a section; undefined if it is not valid. */
  configurationWithSection(
    command: PutSection,
  ): RegistryConfiguration | undefined {
    const changed = this.#withSection(command);
    return changed && this.#configurationOf(this.#items, changed.document);
  }

  /** Routes of a change to services that a newer change has dropped. */
  droppedTargets(change: Pick<PutItems, "upserts">): ItemFault[] {
    return this.#items.droppedTargets(change);
  }

  #withSection({ section: name, text }: PutSection) {
    const parsed = parseSection({ name, text });
    if (parsed.isErr()) return undefined;
    const sections = new Map(this.#sections).set(name, parsed.value);
    const merged = mergeSections([...sections.values()]);
    if (merged.isErr()) return undefined;
    const { revision } = this.#sectionsDocument;
    return { sections, document: { ...merged.value, revision } };
  }

  #configurationOf(
    items: ItemTable,
    sectionsDocument: Document,
  ): RegistryConfiguration {
    const document = withItems(sectionsDocument, items);
    const leaving = this.#leaving.all();
    return { ...this.#configuration, document, leaving };
  }
}
