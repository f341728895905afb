import { v7 as uuidv7 } from "uuid";
import type { HostId } from "#model";
import type { OperatorClient } from "#operators";
import type { FaultSite } from "./fault_site.ts";

/** Response of a control host to an accepted change. */
export interface AcceptedChange {
  readonly section_revision: number;
  readonly document_revision: number;
  readonly version: number;
}

/** A change of a section with the response that accepted it. */
export interface SentChange {
  readonly changeId: string;
  readonly text: string;
  readonly revision: number;
  readonly accepted: AcceptedChange;
}

/** A revision of a section as the operator API returns it. */
export interface SectionRevision {
  readonly revision: number;
  readonly change_id: string;
  readonly text: string;
}

/** Writes a sequence of changes to one section, and reads it back. */
export class SectionWriter {
  readonly section: string;
  readonly team: string;
  readonly sent: SentChange[] = [];
  readonly #site: FaultSite;
  readonly #initialText: string;
  #textCount = 0;
  #revision: number;

  constructor(
    site: FaultSite,
    options: { section: string; team: string; text: string; revision: number },
  ) {
    this.#site = site;
    this.section = options.section;
    this.team = options.team;
    this.#initialText = options.text;
    this.#revision = options.revision;
  }

  get revision(): number {
    return this.#revision;
  }

  get operator(): OperatorClient {
    return this.#site.operatorClient(this.team);
  }

  /** Returns a valid section text that this writer has not returned before. */
  nextText(): string {
    this.#textCount += 1;
    const coldStart = `cold_start_ms: ${10_000 + this.#textCount}`;
    return this.#initialText.replace(/cold_start_ms: \d+/, coldStart);
  }

  /**
   * Skips texts, so that two writers of one section never send the same text.
   */
  skipTexts(texts: number): void {
    this.#textCount += texts;
  }

  /** Sends the next change; throws unless it is accepted. */
  async write(controls?: readonly HostId[]): Promise<SentChange> {
    const operator = this.#site.operatorClient(this.team, controls);
    const change = {
      text: this.nextText(),
      revision: this.#revision,
      changeId: uuidv7(),
    };
    const put = await operator.put(this.section, change);
    if (put.isErr()) throw new Error(JSON.stringify(put.error));
    const sent = { ...change, accepted: put.value as AcceptedChange };
    this.sent.push(sent);
    this.#revision = sent.accepted.section_revision;
    return sent;
  }

  /** Writes changes one after another until `stopped` returns true. */
  async writeUntil(stopped: () => boolean): Promise<void> {
    while (!stopped()) await this.write();
  }

  /** Sets the revision to change next, after a change made without `write`. */
  setRevision(revision: number): void {
    this.#revision = revision;
  }

  /** Reads the section with a linearizable read through one of the hosts. */
  async read(controls?: readonly HostId[]): Promise<SectionRevision> {
    const operator = this.#site.operatorClient(this.team, controls);
    const read = await operator.read(["sections", this.section]);
    if (read.isErr()) throw new Error(JSON.stringify(read.error));
    return read.value as SectionRevision;
  }

  /** Reads the retained revisions with a linearizable read, oldest first. */
  async history(controls?: readonly HostId[]): Promise<SectionRevision[]> {
    const operator = this.#site.operatorClient(this.team, controls);
    const read = await operator.read(["sections", this.section, "history"]);
    if (read.isErr()) throw new Error(JSON.stringify(read.error));
    return (read.value as { revisions: SectionRevision[] }).revisions;
  }
}

/** Writers of the sections `alloc` and `report` of the example. */
export function exampleWriters(
  site: FaultSite,
): [SectionWriter, SectionWriter] {
  return [
    writerOfSection(site, "alloc", "allocation"),
    writerOfSection(site, "report", "reporting"),
  ];
}

/** A writer that starts from a section of the example at revision 1. */
export function writerOfSection(
  site: FaultSite,
  section: string,
  team: string,
): SectionWriter {
  const text = site.processes.sectionText(section);
  return new SectionWriter(site, { section, team, text, revision: 1 });
}
