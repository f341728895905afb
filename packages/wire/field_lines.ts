const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** Bounds of a head, and of the fields behind a chunked body. */
export interface FieldBounds {
  /** Bytes of the first line, and of all fields together. */
  readonly bytesMax: number;
  readonly fieldsMax: number;
}

/** The bound that fields have passed before their end. */
export type FieldExcess = "header_bytes" | "header_fields";

/**
 * Follows fields, of a head or behind a chunked body, up to the empty line that ends
 * them, through bytes that come in pieces.
 */
export class FieldLines {
  /** Bytes of the fields so far. */
  bytes = 0;
  #fields = 0;
  /** Bytes of the current line so far. */
  #lineBytes = 0;
  #beginsWithReturn = false;

  /** Takes a piece; returns up to where the fields go in it, or -1 without their end. */
  take(piece: Buffer): number {
    let at = 0;
    for (;;) {
      const end = piece.indexOf(LINE_FEED, at);
      if (end < 0) {
        this.#continueLine(piece, { from: at, to: piece.length });
        this.bytes += piece.length;
        return -1;
      }
      this.#continueLine(piece, { from: at, to: end });
      const isEmpty =
        this.#lineBytes === 0 ||
        (this.#lineBytes === 1 && this.#beginsWithReturn);
      this.#lineBytes = 0;
      at = end + 1;
      if (isEmpty) {
        this.bytes += at;
        return at;
      }
      this.#fields += 1;
    }
  }

  /** The bound that is passed; undefined within both. */
  excess({ bytesMax, fieldsMax }: FieldBounds): FieldExcess | undefined {
    if (this.bytes > bytesMax) return "header_bytes";
    return this.#fields > fieldsMax ? "header_fields" : undefined;
  }

  #continueLine(
    piece: Buffer,
    { from, to }: { from: number; to: number },
  ): void {
    if (to === from) return;
    if (this.#lineBytes === 0)
      this.#beginsWithReturn = piece[from] === CARRIAGE_RETURN;
    this.#lineBytes += to - from;
  }
}

/** Up to where the first line goes in a piece, or -1 without its end. */
export function lineEnd(piece: Buffer): number {
  return piece.indexOf(LINE_FEED) + 1 || -1;
}
