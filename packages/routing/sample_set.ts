/** A set with uniform sampling; all operations take constant time. */
export class SampleSet<T> {
  readonly #items: T[] = [];
  readonly #index = new Map<T, number>();

  get size(): number {
    return this.#items.length;
  }

  at(index: number): T | undefined {
    return this.#items[index];
  }

  has(item: T): boolean {
    return this.#index.has(item);
  }

  items(): readonly T[] {
    return this.#items;
  }

  add(item: T): void {
    if (this.#index.has(item)) return;
    this.#index.set(item, this.#items.length);
    this.#items.push(item);
  }

  delete(item: T): void {
    const index = this.#index.get(item);
    if (index === undefined) return;
    this.#index.delete(item);
    const last = this.#items.pop() as T;
    if (last === item) return;
    this.#items[index] = last;
    this.#index.set(last, index);
  }
}
