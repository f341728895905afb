import { Heap } from "#admission";
import { ManualClock } from "#model";

interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
  heapIndex: number;
}

/** Discrete events on a clock that jumps from one to the next. */
export class Events {
  readonly clock = new ManualClock();
  readonly #heap = new Heap<Event>(
    (a, b) => a.at < b.at || (a.at === b.at && a.order < b.order),
  );
  #order = 0;

  now(): number {
    return this.clock.now();
  }

  after(ms: number, run: () => void): void {
    const at = this.now() + ms;
    this.#heap.push({ at, order: this.#order++, run, heapIndex: -1 });
  }

  /** Runs `run` again and again, first after one interval. */
  every(ms: number, run: () => void): void {
    this.after(ms, () => {
      run();
      this.every(ms, run);
    });
  }

  /** Runs all events up to a time in milliseconds. */
  runUntil(end: number): void {
    for (;;) {
      const event = this.#heap.peek();
      if (!event || event.at > end) return;
      this.#heap.pop();
      this.clock.advance(event.at - this.now());
      event.run();
    }
  }
}
