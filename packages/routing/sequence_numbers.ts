/** Numbers messages and tickets of one process; never gives a number twice. */
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
