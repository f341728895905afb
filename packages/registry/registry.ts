import { err, ok, type Result } from "neverthrow";
import {
  type DocumentFault,
  mergeSections,
  parseSection,
  type Section,
  SYSTEM_SECTION,
} from "#document";
import { type ControlPeer, type Document, EMPTY_DOCUMENT } from "#model";
import type {
  Actor,
  EntryChanged,
  EntryJoined,
  EntryLeft,
  PutItemsReply,
  PutReply,
  PutSection,
  RegistryCommand,
  RegistryReply,
  ServersLeaving,
  StopAdvanced,
} from "./commands.ts";
import { withItems } from "./item_document.ts";
import {
  type Item,
  type ItemKey,
  ItemTable,
  type PutItems,
  type StoredItem,
} from "./items.ts";
import { LeavingServers } from "./leaving.ts";
import { Membership, type MembershipResult } from "./membership.ts";
import { PendingState } from "./pending_state.ts";
import type { RegistryConfiguration } from "./planner.ts";
import { ReplyCache } from "./reply_cache.ts";
import { type SectionRevision, SectionTexts } from "./sections.ts";
import {
  decodeSnapshot,
  encodeSnapshot,
  type RegistryState,
  type SnapshotFault,
} from "./snapshot.ts";
import { type StopResult, StopRuns } from "./stops.ts";

/** Most faults listed in one reply; further ones are only counted. */
export const MAX_FAULTS = 100;

/** Team name recorded in the history of the section `system`. */
const SYSTEM_TEAM = "system";

/**
 * The replicated state machine of the control hosts: sections, items, replies
 * by change id, the view of entries and the progress of planned stops. Replicas
 * that apply the same commands in the same order have equal states; no clock is
 * read here. Replicas must also have the same schema of the document, which
 * decides what is accepted: all control hosts must run a build with a new
 * schema before anybody uses it.
 */
export class Registry {
  #sections = new SectionTexts();
  #replyCache = new ReplyCache();
  #membership = new Membership();
  #stops = new StopRuns();
  #parsedSections = new Map<string, Section>();
  #items = new ItemTable();
  #leaving = new LeavingServers();
  #controls: readonly ControlPeer[] = [];
  /** Merged from the sections only. */
  #sectionsDocument: Document = EMPTY_DOCUMENT;
  /** Merged from the sections and the items. */
  #mergedDocument: Document = EMPTY_DOCUMENT;
  #version = 0;
  /** Latest command time; never goes back, as leaders' clocks may differ. */
  #latestTime = 0;

  /** Applies the next command of the log. */
  apply(command: RegistryCommand): RegistryReply {
    this.#latestTime = Math.max(this.#latestTime, command.at);
    switch (command.type) {
      case "put_section":
        return this.#putSection(command);
      case "put_items":
        return this.#putItems(command);
      case "servers_leaving":
        return this.#finishChange(this.#recordLeaving(command));
      case "controls_changed":
        this.#controls = command.controls;
        return this.#finishChange("done");
      case "entry_joined":
      case "entry_changed":
      case "entry_left":
        return this.#finishChange(this.#changeEntry(command));
      case "entries_changed": {
        const changes = command.changes.map(
          (change) => () => this.#changeEntry(change),
        );
        return this.#finishChange(this.#membership.applyTogether(changes));
      }
      case "views_settled":
        return this.#finishChange(
          this.#membership.settle(command.epochs, this.#latestTime),
        );
      case "stop_advanced":
        return this.#finishChange(this.#advance(command));
      default:
        // Skipping the command would make this replica differ from the others.
        throw new Error(`unknown command ${JSON.stringify(command)}`);
    }
  }

  /** The configuration for the entries. */
  configuration(): RegistryConfiguration {
    return {
      document: this.#mergedDocument,
      view: this.#membership.view,
      formerViews: this.#membership.former,
      stops: this.#stops.all(),
      leaving: this.#leaving.all(),
      controls: this.#controls,
      version: this.#version,
    };
  }

  /** The state as it will be after some commands that are logged. */
  after(commands: readonly RegistryCommand[]): PendingState {
    const state = new PendingState({
      items: this.#items,
      leaving: this.#leaving.all(),
      configuration: this.configuration(),
      sections: this.#parsedSections,
      sectionsDocument: this.#sectionsDocument,
    });
    for (const command of commands) state.apply(command);
    return state;
  }

  /** Whether a change was answered before, and gets the same answer again. */
  wasAnswered(command: PutSection): boolean {
    return this.#replyCache.find(command, this.#latestTime) !== undefined;
  }

  /** The current configuration items. */
  items(): Item[] {
    return this.#items.items();
  }

  /** A current item, or what is remembered of a removed one. */
  storedItem(key: ItemKey): StoredItem | undefined {
    return this.#items.stored(key);
  }

  /** The current text of a section. */
  section(name: string): SectionRevision | undefined {
    return this.#sections.current(name);
  }

  /** The current texts of all sections, sorted by name. */
  sections(): SectionRevision[] {
    return this.#sections.currentTexts();
  }

  /** The kept revisions of a section, oldest first. */
  history(name: string): readonly SectionRevision[] {
    return this.#sections.history(name);
  }

  /** The team to which a credential belongs, by its SHA-256. */
  teamOf(credentialSha256: string): string | undefined {
    return this.#sectionsDocument.teams.find(
      ({ credential }) => credential === credentialSha256,
    )?.name;
  }

  /** Encodes the whole state; this and later builds can restore it. */
  snapshot(): Uint8Array {
    return encodeSnapshot({
      version: this.#version,
      documentRevision: this.#sectionsDocument.revision,
      now: this.#latestTime,
      sections: this.#sections.allRevisions(),
      answers: this.#replyCache.all(),
      view: this.#membership.view as RegistryState["view"],
      formerViews: this.#membership.former as RegistryState["formerViews"],
      stops: this.#stops.storedRuns(),
      items: this.#items.all() as RegistryState["items"],
      leaving: this.#leaving.all() as RegistryState["leaving"],
      controls: this.#controls as RegistryState["controls"],
    });
  }

  /** Replaces the state by a snapshot; on an error the state is unchanged. */
  restore(bytes: Uint8Array): Result<void, SnapshotFault> {
    return decodeSnapshot(bytes).andThen((state) => this.#restoreState(state));
  }

  #restoreState(state: RegistryState): Result<void, SnapshotFault> {
    const texts = new SectionTexts();
    for (const revision of state.sections) texts.add(revision);
    const parsed = new Map<string, Section>();
    const faults: DocumentFault[] = [];
    for (const { section: name, text } of texts.currentTexts()) {
      parseSection({ name, text }).match(
        (section) => parsed.set(name, section),
        (sectionFaults) => faults.push(...sectionFaults),
      );
    }
    const merged =
      parsed.size === 0
        ? ok(EMPTY_DOCUMENT)
        : mergeSections(sortedByName(parsed));
    if (faults.length === 0 && merged.isErr()) faults.push(...merged.error);
    if (merged.isErr() || faults.length > 0) {
      return err({ type: "snapshot_document_invalid", faults });
    }
    this.#sections = texts;
    this.#parsedSections = parsed;
    this.#sectionsDocument = {
      ...merged.value,
      revision: state.documentRevision,
    };
    this.#replyCache = new ReplyCache();
    for (const cached of state.answers) this.#replyCache.add(cached);
    this.#membership = new Membership();
    this.#membership.restore(state.view, state.formerViews);
    this.#stops = new StopRuns();
    for (const run of state.stops) this.#stops.restore(run);
    this.#items = new ItemTable();
    this.#items.restore(state.items);
    this.#leaving = new LeavingServers();
    this.#leaving.restore(state.leaving);
    this.#controls = state.controls;
    this.#mergeItems();
    this.#version = state.version;
    this.#latestTime = state.now;
    return ok(undefined);
  }

  #putSection(command: PutSection): PutReply {
    const firstReply = this.#replyCache.find(command, this.#latestTime);
    if (firstReply?.type === "conflict")
      return this.#withRevisionText(firstReply);
    if (firstReply !== undefined) return firstReply;
    const { actor } = command;
    if (actor.type === "team" && !this.teamOf(actor.credentialSha256)) {
      // Not cached, so that unauthenticated requests cannot fill the cache.
      return { type: "unknown_credential" };
    }
    const reply = this.#checkAndAccept(command);
    this.#replyCache.store(command, { reply, at: this.#latestTime });
    return reply;
  }

  #checkAndAccept(command: PutSection): PutReply {
    const { section: name, text, baseRevision } = command;
    const team = this.#authorizedTeam(command);
    if (team === undefined) return this.#forbid(name);
    const revision = this.#sections.current(name)?.revision ?? 0;
    if (revision !== baseRevision) {
      return this.#withRevisionText({
        type: "conflict",
        section: name,
        revision,
      });
    }
    const parsed = parseSection({ name, text });
    if (parsed.isErr()) return invalidReply(parsed.error);
    const sections = new Map(this.#parsedSections).set(name, parsed.value);
    const merged = mergeSections(sortedByName(sections));
    if (merged.isErr()) return invalidReply(merged.error);
    const document = merged.value;
    return this.#accept(command, { team, parsed: parsed.value, document });
  }

  #accept(
    command: PutSection,
    change: { team: string; parsed: Section; document: Document },
  ): PutReply {
    const { section, text, changeId } = command;
    const at = this.#latestTime;
    const sectionRevision = command.baseRevision + 1;
    const documentRevision = this.#sectionsDocument.revision + 1;
    this.#version++;
    this.#sections.add({
      section,
      revision: sectionRevision,
      documentRevision,
      text,
      team: change.team,
      changeId,
      at,
    });
    this.#parsedSections.set(section, change.parsed);
    this.#sectionsDocument = { ...change.document, revision: documentRevision };
    this.#mergeItems();
    this.#stops.plan(this.#sectionsDocument.stops, {
      at,
      version: this.#version,
    });
    this.#membership.dropOldFormerViews(at);
    return {
      type: "accepted",
      section,
      sectionRevision,
      documentRevision,
      version: this.#version,
    };
  }

  #putItems(command: PutItems): PutItemsReply {
    const faults = this.#items.check(command);
    if (faults.length > 0) {
      const listed = faults.slice(0, MAX_FAULTS);
      const omitted = faults.length - listed.length;
      return { type: "items_invalid", faults: listed, omitted };
    }
    if (this.#items.apply(command)) {
      this.#version++;
      const revision = this.#sectionsDocument.revision + 1;
      this.#sectionsDocument = { ...this.#sectionsDocument, revision };
      this.#mergeItems();
      this.#membership.dropOldFormerViews(this.#latestTime);
    }
    return { type: "items_held", version: this.#version };
  }

  #recordLeaving({ servers }: ServersLeaving): "done" | "unchanged" {
    const at = this.#latestTime;
    const added = servers.map((server) => this.#leaving.add({ ...server, at }));
    return added.includes(true) ? "done" : "unchanged";
  }

  #mergeItems(): void {
    this.#mergedDocument = withItems(this.#sectionsDocument, this.#items);
  }

  /** The section's owner if the actor is that team, else undefined. */
  #authorizedTeam({ section, actor }: PutSection): string | undefined {
    if (section === SYSTEM_SECTION) {
      return actor.type === "system" ? SYSTEM_TEAM : undefined;
    }
    if (actor.type === "system") return undefined;
    const owner = this.#ownerOf(section);
    return this.#isActorTeam(owner, actor) ? owner : undefined;
  }

  #isActorTeam(name: string | undefined, actor: Actor): boolean {
    const team = this.#sectionsDocument.teams.find(
      (team) => team.name === name,
    );
    return actor.type === "team" && team?.credential === actor.credentialSha256;
  }

  #ownerOf(section: string): string | undefined {
    const { owners } = this.#sectionsDocument;
    return Object.hasOwn(owners, section) ? owners[section] : undefined;
  }

  #forbid(section: string): PutReply {
    const owner =
      section === SYSTEM_SECTION ? SYSTEM_TEAM : this.#ownerOf(section);
    return { type: "forbidden", section, ...(owner && { owner }) };
  }

  #withRevisionText(
    conflict: Extract<PutReply, { type: "conflict" }>,
  ): PutReply {
    const { section, revision } = conflict;
    const found = this.#sections
      .history(section)
      .find((candidate) => candidate.revision === revision);
    const text = revision === 0 ? "" : found?.text;
    const reply = { type: "conflict" as const, section, revision };
    return text === undefined ? reply : { ...reply, text };
  }

  #advance(command: StopAdvanced): StopResult {
    const at = this.#latestTime;
    return this.#stops.advance(command, { at, version: this.#version + 1 });
  }

  #changeEntry(
    command: EntryJoined | EntryChanged | EntryLeft,
  ): MembershipResult {
    switch (command.type) {
      case "entry_joined":
        return this.#membership.join(command.entry, this.#latestTime);
      case "entry_changed":
        return this.#membership.change(command.entry, this.#latestTime);
      case "entry_left":
        return this.#membership.leave(command, this.#latestTime);
    }
  }

  #finishChange(change: MembershipResult | StopResult): RegistryReply {
    if (change === "done") {
      this.#version++;
      this.#membership.dropOldFormerViews(this.#latestTime);
    }
    const version = this.#version;
    if (change === "done" || change === "unchanged") {
      return { type: change, version };
    }
    return { type: "stale", version, reason: change };
  }
}

/** Sorted by name, so that all replicas merge in the same order. */
function sortedByName(sections: ReadonlyMap<string, Section>): Section[] {
  return [...sections.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
}

function invalidReply(faults: readonly DocumentFault[]): PutReply {
  const listed = faults.slice(0, MAX_FAULTS);
  const omitted = faults.length - listed.length;
  return { type: "invalid", faults: listed, omitted };
}
