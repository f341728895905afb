/** A binary heap whose items can be moved or removed by reference. */
export class Heap<T extends { heapIndex: number }> {
  readonly #items: T[] = [];
  readonly #precedes: (a: T, b: T) => boolean;

  /** `heapIndex` of an item is -1 while it is in no heap. */
  constructor(precedes: (a: T, b: T) => boolean) {
    this.#precedes = precedes;
  }

  get size(): number {
    return this.#items.length;
  }

  peek(): T | undefined {
    return this.#items[0];
  }

  /** The item at the last position: a leaf, so no other item is below it. */
  leaf(): T | undefined {
    return this.#items[this.#items.length - 1];
  }

  items(): readonly T[] {
    return this.#items;
  }

  push(item: T): void {
    item.heapIndex = this.#items.length;
    this.#items.push(item);
    this.#siftUp(item.heapIndex);
  }

  pop(): T | undefined {
    const first = this.#items[0];
    if (first) this.remove(first);
    return first;
  }

  remove(item: T): boolean {
    const index = item.heapIndex;
    if (index < 0 || this.#items[index] !== item) return false;
    const last = this.#items.pop() as T;
    item.heapIndex = -1;
    if (last === item) return true;
    this.#items[index] = last;
    last.heapIndex = index;
    this.update(last);
    return true;
  }

  /** Restores the heap order after an item's key has changed. */
  update(item: T): void {
    this.#siftUp(item.heapIndex);
    this.#siftDown(item.heapIndex);
  }

  #siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.#swapIfPrecedes(index, parent)) return;
      index = parent;
    }
  }

  #siftDown(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      const right = left + 1;
      if (left >= this.#items.length) return;
      const a = this.#items[left] as T;
      const b = this.#items[right];
      const child = b !== undefined && this.#precedes(b, a) ? right : left;
      if (!this.#swapIfPrecedes(child, index)) return;
      index = child;
    }
  }

  #swapIfPrecedes(lower: number, upper: number): boolean {
    const a = this.#items[lower] as T;
    const b = this.#items[upper] as T;
    if (!this.#precedes(a, b)) return false;
    this.#items[upper] = a;
    this.#items[lower] = b;
    a.heapIndex = upper;
    b.heapIndex = lower;
    return true;
  }
}
