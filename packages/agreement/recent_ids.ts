/**
 * A set of recently added ids. An id is forgotten one to two periods after it
 * was added, or later if no other ids are added.
 */
export class RecentIds {
  readonly #periodMs: number;
  #current = new Set<string>();
  #previous = new Set<string>();
  #rotatedAt: number;

  constructor(periodMs: number, now: number) {
    this.#periodMs = periodMs;
    this.#rotatedAt = now;
  }

  add(id: string, now: number): void {
    this.#rotate(now);
    this.#current.add(id);
  }

  has(id: string): boolean {
    return this.#current.has(id) || this.#previous.has(id);
  }

  #rotate(now: number): void {
    if (now - this.#rotatedAt < this.#periodMs) return;
    this.#rotatedAt = now;
    this.#previous = this.#current;
    this.#current = new Set();
  }
}
