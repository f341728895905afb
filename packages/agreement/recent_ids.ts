/** Remembers ids for at least one period and at most two. */
export class RecentIds {
  readonly #periodMs: number;
  #current = new Set<string>();
  #former = new Set<string>();
  #since: number;

  constructor(periodMs: number, now: number) {
    this.#periodMs = periodMs;
    this.#since = now;
  }

  add(id: string, now: number): void {
    this.#rotate(now);
    this.#current.add(id);
  }

  has(id: string): boolean {
    return this.#current.has(id) || this.#former.has(id);
  }

  #rotate(now: number): void {
    if (now - this.#since < this.#periodMs) return;
    this.#since = now;
    this.#former = this.#current;
    this.#current = new Set();
  }
}
