/** One accepted text of a section. */
export interface SectionRevision {
  readonly section: string;
  /** Counted from 1 within the section. */
  readonly revision: number;
  /** Revision of the document that this change made. */
  readonly documentRevision: number;
  readonly text: string;
  /** Team that made the change. */
  readonly team: string;
  readonly changeId: string;
  /** Milliseconds since the Unix epoch. */
  readonly at: number;
}

/** Revisions kept for each section, the present one included. */
export const HISTORY_REVISIONS = 100;

/**
 * Characters of former texts kept over all sections, so that the registry stays
 * well inside the 64 MB of a control process. Present texts do not count.
 */
export const HISTORY_CHARACTERS = 8 * 1024 * 1024;

/** The texts of all sections, with their history. */
export class SectionTexts {
  readonly #history = new Map<string, SectionRevision[]>();
  readonly #limit: number;
  #formerCharacters = 0;

  constructor(options: { historyCharacters?: number } = {}) {
    this.#limit = options.historyCharacters ?? HISTORY_CHARACTERS;
  }

  /** The present text of a section. */
  current(section: string): SectionRevision | undefined {
    return this.#history.get(section)?.at(-1);
  }

  /** The kept revisions of a section, oldest first. */
  history(section: string): readonly SectionRevision[] {
    return this.#history.get(section) ?? [];
  }

  /** The present texts of all sections, in the order of their names. */
  all(): SectionRevision[] {
    return [...this.#history.values()]
      .flatMap((revisions) => revisions.slice(-1))
      .sort((a, b) => (a.section < b.section ? -1 : 1));
  }

  /** All kept revisions in the order in which they were accepted. */
  log(): SectionRevision[] {
    return [...this.#history.values()]
      .flat()
      .sort((a, b) => a.documentRevision - b.documentRevision);
  }

  /** Adds a revision and drops the oldest ones beyond the bounds. */
  add(revision: SectionRevision): void {
    const revisions = this.#history.get(revision.section) ?? [];
    this.#history.set(revision.section, revisions);
    this.#formerCharacters += revisions.at(-1)?.text.length ?? 0;
    revisions.push(revision);
    if (revisions.length > HISTORY_REVISIONS) this.#dropFirst(revisions);
    while (this.#formerCharacters > this.#limit) {
      const oldest = this.#oldestFormer();
      if (oldest === undefined) break;
      this.#dropFirst(oldest);
    }
  }

  #dropFirst(revisions: SectionRevision[]): void {
    this.#formerCharacters -= revisions.shift()?.text.length ?? 0;
  }

  #oldestFormer(): SectionRevision[] | undefined {
    let found: SectionRevision[] | undefined;
    for (const revisions of this.#history.values()) {
      if (revisions.length < 2) continue;
      if (order(revisions) < order(found)) found = revisions;
    }
    return found;
  }
}

function order(revisions: readonly SectionRevision[] | undefined): number {
  return revisions?.[0]?.documentRevision ?? Number.POSITIVE_INFINITY;
}
