/** Smallest buffer for several parts. */
const MIN_BUFFER_BYTES = 4_096;
/** Size up to which a buffer grows; what is longer takes further ones. */
const MAX_BUFFER_BYTES = 131_072;

/** Bytes that arrive in parts. A list of parts could hold one object for each byte. */
export class GrowingBuffer {
  /** Full buffers before the last one. */
  readonly #full: Buffer[] = [];
  #fullBytes = 0;
  #last: Buffer | undefined;
  #lastBytes = 0;

  get length(): number {
    return this.#fullBytes + this.#lastBytes;
  }

  /** Memory that is held for the bytes. */
  get capacity(): number {
    return this.#fullBytes + (this.#last?.length ?? 0);
  }

  /** Adds a part; the first one is kept as it is, without a copy. */
  append(part: Buffer): void {
    if (this.#last) {
      this.#copy(this.#last, part);
      return;
    }
    this.#last = part;
    this.#lastBytes = part.length;
  }

  /** The bytes so far. */
  take(): Buffer {
    const last = this.#last?.subarray(0, this.#lastBytes) ?? Buffer.alloc(0);
    return this.#full.length === 0
      ? last
      : Buffer.concat([...this.#full, last]);
  }

  #copy(last: Buffer, part: Buffer): void {
    const bytes = this.#lastBytes + part.length;
    if (bytes <= last.length) {
      part.copy(last, this.#lastBytes);
      this.#lastBytes = bytes;
      return;
    }
    if (bytes > MAX_BUFFER_BYTES) {
      this.#full.push(last.subarray(0, this.#lastBytes));
      this.#fullBytes += this.#lastBytes;
      this.#last = Buffer.allocUnsafeSlow(
        Math.max(MAX_BUFFER_BYTES, part.length),
      );
      this.#lastBytes = part.copy(this.#last);
      return;
    }
    const grown = Buffer.allocUnsafeSlow(
      Math.min(
        MAX_BUFFER_BYTES,
        Math.max(MIN_BUFFER_BYTES, 2 * this.#lastBytes, bytes),
      ),
    );
    last.copy(grown, 0, 0, this.#lastBytes);
    part.copy(grown, this.#lastBytes);
    this.#last = grown;
    this.#lastBytes = bytes;
  }
}
