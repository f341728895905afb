import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of uniformly distributed random numbers. */
export interface Randomness {
  /** A number in [0, 1). */
  next(): number;
  /** An integer in [0, bound). */
  below(bound: number): number;
}

/** Random numbers of the JavaScript engine; not for secrets. */
export class SystemRandomness implements Randomness {
  next(): number {
    return Math.random();
  }

  below(bound: number): number {
    return Math.floor(Math.random() * bound);
  }
}

/** A reproducible sequence: the same seed gives the same numbers. */
export class SeededRandomness implements Randomness {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  next(): number {
    return (this.#generator.next() >>> 0) / 0x1_0000_0000;
  }

  below(bound: number): number {
    return Math.floor(this.next() * bound);
  }
}
