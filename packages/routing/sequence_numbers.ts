/**
 * Sequence numbers for the messages and tickets of one process. A number is
 * never used twice.
 */
export class SequenceNumbers {
  #last = 0;

  get last(): number {
    return this.#last;
  }

  next(): number {
    this.#last += 1;
    return this.#last;
  }
}
