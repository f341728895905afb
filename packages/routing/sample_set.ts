/**
 * A set with uniform sampling by index; all operations take constant time. An
 * item stores its own position (-1 if not in the set), which saves a lookup by
 * key.
 */
export class SampleSet<T extends { sampleIndex: number }> {
  readonly #items: T[] = [];

  get size(): number {
    return this.#items.length;
  }

  at(index: number): T | undefined {
    return this.#items[index];
  }

  items(): readonly T[] {
    return this.#items;
  }

  add(item: T): void {
    if (item.sampleIndex >= 0) return;
    item.sampleIndex = this.#items.length;
    this.#items.push(item);
  }

  delete(item: T): void {
    const index = item.sampleIndex;
    if (index < 0) return;
    item.sampleIndex = -1;
    const last = this.#items.pop() as T;
    if (last === item) return;
    this.#items[index] = last;
    last.sampleIndex = index;
  }
}
