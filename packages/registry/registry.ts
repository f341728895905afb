import { err, ok, type Result } from "neverthrow";
import {
  type DocumentFault,
  mergeSections,
  parseSection,
  type Section,
  SYSTEM_SECTION,
} from "#document";
import { type ControlPeer, type Document, EMPTY_DOCUMENT } from "#model";
import { Answers } from "./answers.ts";
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
import { type Item, ItemTable, type PutItems } from "./items.ts";
import { LeavingServers } from "./leaving.ts";
import { Membership, type MembershipChange } from "./membership.ts";
import type { RegistryConfiguration } from "./planner.ts";
import { type SectionRevision, SectionTexts } from "./sections.ts";
import {
  decodeSnapshot,
  encodeSnapshot,
  type RegistryState,
  type SnapshotFault,
} from "./snapshot.ts";
import { type StopChange, StopRuns } from "./stops.ts";

/** Faults in one answer; the rest is counted. */
export const MAX_FAULTS = 100;

/** Name of the team in the history of the section `system`. */
const SYSTEM_TEAM = "system";

/**
 * The replicated state machine: sections, change ids, the view of entries and
 * the progress of planned stops. Replicas that apply the same commands in the
 * same order are equal; it uses no clock of its own. They must also have the
 * same schema of the document, because it decides what is accepted: a build
 * with another one replaces all control hosts before the change is used.
 */
export class Registry {
  #texts = new SectionTexts();
  #answers = new Answers();
  #membership = new Membership();
  #stops = new StopRuns();
  #parsed = new Map<string, Section>();
  #items = new ItemTable();
  #leaving = new LeavingServers();
  #controls: readonly ControlPeer[] = [];
  /** Merged from the sections alone. */
  #document: Document = EMPTY_DOCUMENT;
  /** The document together with the items. */
  #merged: Document = EMPTY_DOCUMENT;
  #version = 0;
  /** The newest time of a command, because leaders' clocks may differ. */
  #now = 0;

  /** Applies the next command of the log. */
  apply(command: RegistryCommand): RegistryReply {
    this.#now = Math.max(this.#now, command.at);
    switch (command.type) {
      case "put_section":
        return this.#put(command);
      case "put_items":
        return this.#putItems(command);
      case "servers_leaving":
        return this.#noteChange(this.#recordLeaving(command));
      case "controls_changed":
        this.#controls = command.controls;
        return this.#noteChange("done");
      case "entry_joined":
      case "entry_changed":
      case "entry_left":
        return this.#noteChange(this.#changeEntry(command));
      case "entries_changed": {
        const changes = command.changes.map(
          (change) => () => this.#changeEntry(change),
        );
        return this.#noteChange(this.#membership.together(changes));
      }
      case "views_settled":
        return this.#noteChange(
          this.#membership.settle(command.epochs, this.#now),
        );
      case "stop_advanced":
        return this.#noteChange(this.#advance(command));
      default:
        // A replica that skipped a command would differ from the others.
        throw new Error(`unknown command ${JSON.stringify(command)}`);
    }
  }

  /** All that entries get. */
  configuration(): RegistryConfiguration {
    return {
      document: this.#merged,
      view: this.#membership.view,
      formerViews: this.#membership.former,
      stops: this.#stops.all(),
      leaving: this.#leaving.all(),
      controls: this.#controls,
      version: this.#version,
    };
  }

  /** The configuration items that stand. */
  items(): Item[] {
    return this.#items.items();
  }

  /** The present text of a section. */
  section(name: string): SectionRevision | undefined {
    return this.#texts.current(name);
  }

  /** The present texts of all sections, in the order of their names. */
  sections(): SectionRevision[] {
    return this.#texts.all();
  }

  /** The kept revisions of a section, oldest first. */
  history(name: string): readonly SectionRevision[] {
    return this.#texts.history(name);
  }

  /** The team to which a credential belongs, by its SHA-256. */
  teamOf(credentialSha256: string): string | undefined {
    return this.#document.teams.find(
      ({ credential }) => credential === credentialSha256,
    )?.name;
  }

  /** The whole state, to be restored by this or a later build. */
  snapshot(): Uint8Array {
    return encodeSnapshot({
      version: this.#version,
      documentRevision: this.#document.revision,
      now: this.#now,
      sections: this.#texts.log(),
      answers: this.#answers.all(),
      view: this.#membership.view as RegistryState["view"],
      formerViews: this.#membership.former as RegistryState["formerViews"],
      stops: this.#stops.kept(),
      items: this.#items.all() as RegistryState["items"],
      leaving: this.#leaving.all() as RegistryState["leaving"],
      controls: this.#controls as RegistryState["controls"],
    });
  }

  /** Takes over a snapshot, or keeps the present state and tells why. */
  restore(bytes: Uint8Array): Result<void, SnapshotFault> {
    return decodeSnapshot(bytes).andThen((state) => this.#takeOver(state));
  }

  #takeOver(state: RegistryState): Result<void, SnapshotFault> {
    const texts = new SectionTexts();
    for (const revision of state.sections) texts.add(revision);
    const parsed = new Map<string, Section>();
    const faults: DocumentFault[] = [];
    for (const { section: name, text } of texts.all()) {
      parseSection({ name, text }).match(
        (section) => parsed.set(name, section),
        (found) => faults.push(...found),
      );
    }
    const merged =
      parsed.size === 0 ? ok(EMPTY_DOCUMENT) : mergeSections(inOrder(parsed));
    if (faults.length === 0 && merged.isErr()) faults.push(...merged.error);
    if (merged.isErr() || faults.length > 0) {
      return err({ type: "snapshot_document_invalid", faults });
    }
    this.#texts = texts;
    this.#parsed = parsed;
    this.#document = { ...merged.value, revision: state.documentRevision };
    this.#answers = new Answers();
    for (const answer of state.answers) this.#answers.add(answer);
    this.#membership = new Membership();
    this.#membership.restore(state.view, state.formerViews);
    this.#stops = new StopRuns();
    for (const run of state.stops) this.#stops.restore(run);
    this.#items = new ItemTable();
    this.#items.restore(state.items);
    this.#leaving = new LeavingServers();
    this.#leaving.restore(state.leaving);
    this.#controls = state.controls;
    this.#merge();
    this.#version = state.version;
    this.#now = state.now;
    return ok(undefined);
  }

  #put(command: PutSection): PutReply {
    const first = this.#answers.find(command, this.#now);
    if (first?.type === "conflict") return this.#withText(first);
    if (first !== undefined) return first;
    const { actor } = command;
    if (actor.type === "team" && !this.teamOf(actor.credentialSha256)) {
      // Not kept, so that strangers cannot fill the memory for answers.
      return { type: "unknown_credential" };
    }
    const reply = this.#decide(command);
    this.#answers.keep(command, { reply, at: this.#now });
    return reply;
  }

  #decide(command: PutSection): PutReply {
    const { section: name, text, baseRevision } = command;
    const team = this.#ownerActing(command);
    if (team === undefined) return this.#forbid(name);
    const revision = this.#texts.current(name)?.revision ?? 0;
    if (revision !== baseRevision) {
      return this.#withText({ type: "conflict", section: name, revision });
    }
    const parsed = parseSection({ name, text });
    if (parsed.isErr()) return invalid(parsed.error);
    const sections = new Map(this.#parsed).set(name, parsed.value);
    const merged = mergeSections(inOrder(sections));
    if (merged.isErr()) return invalid(merged.error);
    const document = merged.value;
    return this.#accept(command, { team, parsed: parsed.value, document });
  }

  #accept(
    command: PutSection,
    change: { team: string; parsed: Section; document: Document },
  ): PutReply {
    const { section, text, changeId } = command;
    const at = this.#now;
    const sectionRevision = command.baseRevision + 1;
    const documentRevision = this.#document.revision + 1;
    this.#version++;
    this.#texts.add({
      section,
      revision: sectionRevision,
      documentRevision,
      text,
      team: change.team,
      changeId,
      at,
    });
    this.#parsed.set(section, change.parsed);
    this.#document = { ...change.document, revision: documentRevision };
    this.#merge();
    this.#stops.plan(this.#document.stops, { at, version: this.#version });
    this.#membership.prune(at);
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
      const revision = this.#document.revision + 1;
      this.#document = { ...this.#document, revision };
      this.#merge();
      this.#membership.prune(this.#now);
    }
    return { type: "items_held", version: this.#version };
  }

  #recordLeaving({ servers }: ServersLeaving): "done" | "unchanged" {
    const at = this.#now;
    const added = servers.map((server) => this.#leaving.add({ ...server, at }));
    return added.includes(true) ? "done" : "unchanged";
  }

  #merge(): void {
    this.#merged = withItems(this.#document, this.#items.items());
  }

  /** The team that owns the section, if it is the one that acts. */
  #ownerActing({ section, actor }: PutSection): string | undefined {
    if (section === SYSTEM_SECTION) {
      return actor.type === "system" ? SYSTEM_TEAM : undefined;
    }
    if (actor.type === "system") return undefined;
    const owner = this.#owner(section);
    return this.#isTeam(owner, actor) ? owner : undefined;
  }

  #isTeam(name: string | undefined, actor: Actor): boolean {
    const team = this.#document.teams.find((team) => team.name === name);
    return actor.type === "team" && team?.credential === actor.credentialSha256;
  }

  #owner(section: string): string | undefined {
    const { owners } = this.#document;
    return Object.hasOwn(owners, section) ? owners[section] : undefined;
  }

  #forbid(section: string): PutReply {
    const owner =
      section === SYSTEM_SECTION ? SYSTEM_TEAM : this.#owner(section);
    return { type: "forbidden", section, ...(owner && { owner }) };
  }

  #withText(conflict: Extract<PutReply, { type: "conflict" }>): PutReply {
    const { section, revision } = conflict;
    const kept = this.#texts
      .history(section)
      .find((candidate) => candidate.revision === revision);
    const text = revision === 0 ? "" : kept?.text;
    const facts = { type: "conflict" as const, section, revision };
    return text === undefined ? facts : { ...facts, text };
  }

  #advance(command: StopAdvanced): StopChange {
    const at = this.#now;
    return this.#stops.advance(command, { at, version: this.#version + 1 });
  }

  #changeEntry(
    command: EntryJoined | EntryChanged | EntryLeft,
  ): MembershipChange {
    switch (command.type) {
      case "entry_joined":
        return this.#membership.join(command.entry, this.#now);
      case "entry_changed":
        return this.#membership.change(command.entry, this.#now);
      case "entry_left":
        return this.#membership.leave(command, this.#now);
    }
  }

  #noteChange(change: MembershipChange | StopChange): RegistryReply {
    if (change === "done") {
      this.#version++;
      this.#membership.prune(this.#now);
    }
    const version = this.#version;
    if (change === "done" || change === "unchanged") {
      return { type: change, version };
    }
    return { type: "stale", version, reason: change };
  }
}

/** Sections in the order of their names, so that replicas merge alike. */
function inOrder(sections: ReadonlyMap<string, Section>): Section[] {
  return [...sections.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
}

function invalid(faults: readonly DocumentFault[]): PutReply {
  const listed = faults.slice(0, MAX_FAULTS);
  const omitted = faults.length - listed.length;
  return { type: "invalid", faults: listed, omitted };
}
