import { Heap } from "#admission";
import { ManualClock } from "#model";

interface ScheduledEvent {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
  heapIndex: number;
}

/**
 * A discrete-event simulation: runs functions in the order of their times, on a
 * clock that jumps from one event to the next.
 */
export class EventQueue {
  readonly clock = new ManualClock();
  readonly #heap = new Heap<ScheduledEvent>(
    (a, b) => a.at < b.at || (a.at === b.at && a.sequence < b.sequence),
  );
  #nextSequence = 0;

  now(): number {
    return this.clock.now();
  }

  after(ms: number, run: () => void): void {
    const at = this.now() + ms;
    this.#heap.push({ at, sequence: this.#nextSequence++, run, heapIndex: -1 });
  }

  /** Runs `run` at every interval, first after one interval. */
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
