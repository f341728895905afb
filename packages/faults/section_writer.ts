import { v7 as uuidv7 } from "uuid";
import type { HostId } from "#model";
import type { OperatorClient } from "#operators";
import type { FaultSite } from "./fault_site.ts";

/** What control answers to an accepted change. */
export interface Accepted {
  readonly section_revision: number;
  readonly document_revision: number;
  readonly version: number;
}

/** A change with what its first sender was told. */
export interface SentChange {
  readonly changeId: string;
  readonly text: string;
  readonly revision: number;
  readonly accepted: Accepted;
}

/** A section's revision as operators read it. */
export interface SectionRevision {
  readonly revision: number;
  readonly change_id: string;
  readonly text: string;
}

/** An operator who changes a section again and again. */
export class SectionWriter {
  readonly section: string;
  readonly team: string;
  readonly sent: SentChange[] = [];
  readonly #site: FaultSite;
  readonly #first: string;
  #count = 0;
  #revision: number;

  constructor(
    site: FaultSite,
    options: { section: string; team: string; text: string; revision: number },
  ) {
    this.#site = site;
    this.section = options.section;
    this.team = options.team;
    this.#first = options.text;
    this.#revision = options.revision;
  }

  get revision(): number {
    return this.#revision;
  }

  get operator(): OperatorClient {
    return this.#site.operator(this.team);
  }

  /** A valid text that this writer has not sent yet. */
  nextText(): string {
    this.#count += 1;
    const coldStart = `cold_start_ms: ${10_000 + this.#count}`;
    return this.#first.replace(/cold_start_ms: \d+/, coldStart);
  }

  /** Leaves texts out, so that two writers of a section do not send the same. */
  skip(texts: number): void {
    this.#count += texts;
  }

  /** Sends one more change; fails unless it is accepted. */
  async write(controls?: readonly HostId[]): Promise<SentChange> {
    const operator = this.#site.operator(this.team, controls);
    const change = {
      text: this.nextText(),
      revision: this.#revision,
      changeId: uuidv7(),
    };
    const put = await operator.put(this.section, change);
    if (put.isErr()) throw new Error(JSON.stringify(put.error));
    const sent = { ...change, accepted: put.value as Accepted };
    this.sent.push(sent);
    this.#revision = sent.accepted.section_revision;
    return sent;
  }

  /** Goes on to write until told to stop. */
  async writeUntil(stopped: () => boolean): Promise<void> {
    while (!stopped()) await this.write();
  }

  /** Takes note of a change that was made without `write`. */
  follow(revision: number): void {
    this.#revision = revision;
  }

  /** The section as a majority confirms it to one host. */
  async read(controls?: readonly HostId[]): Promise<SectionRevision> {
    const operator = this.#site.operator(this.team, controls);
    const read = await operator.read(["sections", this.section]);
    if (read.isErr()) throw new Error(JSON.stringify(read.error));
    return read.value as SectionRevision;
  }

  /** The kept revisions as a majority confirms them, oldest first. */
  async history(controls?: readonly HostId[]): Promise<SectionRevision[]> {
    const operator = this.#site.operator(this.team, controls);
    const read = await operator.read(["sections", this.section, "history"]);
    if (read.isErr()) throw new Error(JSON.stringify(read.error));
    return (read.value as { revisions: SectionRevision[] }).revisions;
  }
}

/** Writers of both sections of the example. */
export function writers(site: FaultSite): [SectionWriter, SectionWriter] {
  return [
    writerOf(site, "alloc", "allocation"),
    writerOf(site, "report", "reporting"),
  ];
}

/** A writer of a section as the example has it. */
export function writerOf(
  site: FaultSite,
  section: string,
  team: string,
): SectionWriter {
  const text = site.processes.sectionText(section);
  return new SectionWriter(site, { section, team, text, revision: 1 });
}
