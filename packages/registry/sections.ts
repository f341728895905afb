/** One accepted text of a section. */
export interface SectionRevision {
  readonly section: string;
  /** Counts from 1 within the section. */
  readonly revision: number;
  /** Revision of the document after this change. */
  readonly documentRevision: number;
  readonly text: string;
  /** Team that made the change. */
  readonly team: string;
  readonly changeId: string;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
}

/** Revisions kept per section, including the current one. */
export const HISTORY_REVISIONS = 100;

/**
 * Characters of former texts kept in all sections together, so that the
 * registry stays well within the 64 MB of a control process. Current texts do
 * not count.
 */
export const HISTORY_CHARACTERS = 8 * 1024 * 1024;

/** The current texts of all sections and their history. */
export class SectionTexts {
  readonly #history = new Map<string, SectionRevision[]>();
  readonly #maxFormerCharacters: number;
  #formerCharacters = 0;

  constructor(options: { historyCharacters?: number } = {}) {
    this.#maxFormerCharacters = options.historyCharacters ?? HISTORY_CHARACTERS;
  }

  current(section: string): SectionRevision | undefined {
    return this.#history.get(section)?.at(-1);
  }

  /** The kept revisions of a section, oldest first. */
  history(section: string): readonly SectionRevision[] {
    return this.#history.get(section) ?? [];
  }

  /** The current texts of all sections, sorted by name. */
  currentTexts(): SectionRevision[] {
    return [...this.#history.values()]
      .flatMap((revisions) => revisions.slice(-1))
      .sort((a, b) => (a.section < b.section ? -1 : 1));
  }

  /** All kept revisions of all sections, in the order of their acceptance. */
  allRevisions(): SectionRevision[] {
    return [...this.#history.values()]
      .flat()
      .sort((a, b) => a.documentRevision - b.documentRevision);
  }

  /** Adds a revision and drops the oldest ones beyond the limits. */
  add(revision: SectionRevision): void {
    const revisions = this.#history.get(revision.section) ?? [];
    this.#history.set(revision.section, revisions);
    this.#formerCharacters += revisions.at(-1)?.text.length ?? 0;
    revisions.push(revision);
    if (revisions.length > HISTORY_REVISIONS) this.#dropOldest(revisions);
    while (this.#formerCharacters > this.#maxFormerCharacters) {
      const oldest = this.#sectionWithOldestFormerText();
      if (oldest === undefined) break;
      this.#dropOldest(oldest);
    }
  }

  #dropOldest(revisions: SectionRevision[]): void {
    this.#formerCharacters -= revisions.shift()?.text.length ?? 0;
  }

  #sectionWithOldestFormerText(): SectionRevision[] | undefined {
    let oldest: SectionRevision[] | undefined;
    for (const revisions of this.#history.values()) {
      if (revisions.length < 2) continue;
      if (oldestRevision(revisions) < oldestRevision(oldest))
        oldest = revisions;
    }
    return oldest;
  }
}

function oldestRevision(
  revisions: readonly SectionRevision[] | undefined,
): number {
  return revisions?.[0]?.documentRevision ?? Number.POSITIVE_INFINITY;
}
