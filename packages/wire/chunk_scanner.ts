const LINE_FEED = 10;
/** More than any size that the parser takes. */
const MAX_SIZE_DIGITS = 16;

type State = "size" | "extension" | "data" | "data_end" | "fields" | "lost";

/**
 * Follows the framing of a chunked body, to find where the fields behind it begin. It
 * decides nothing about the body: the parser reads the same bytes.
 */
export class ChunkScanner {
  #state: State = "size";
  #digits = "";
  #dataBytes = 0;

  /** Whether the fields behind the body have begun. */
  get isAtFields(): boolean {
    return this.#state === "fields";
  }

  /**
   * Takes a piece of the body; returns up to where it goes before the fields, which is
   * all of it while there are none.
   */
  take(piece: Buffer): number {
    let at = 0;
    while (at < piece.length && !this.isAtFields) {
      switch (this.#state) {
        case "size":
          at = this.#takeSize(piece, at);
          break;
        case "extension":
        case "data_end":
          at = this.#takeLineEnd(piece, at);
          break;
        case "data": {
          const bytes = Math.min(this.#dataBytes, piece.length - at);
          this.#dataBytes -= bytes;
          at += bytes;
          if (this.#dataBytes === 0) this.#state = "data_end";
          break;
        }
        default:
          return piece.length;
      }
    }
    return at;
  }

  #takeSize(piece: Buffer, at: number): number {
    const character = String.fromCharCode(piece[at] ?? 0);
    const isDigit = /[0-9a-f]/i.test(character);
    if (isDigit && this.#digits.length < MAX_SIZE_DIGITS) {
      this.#digits += character;
      return at + 1;
    }
    // The parser refuses what is no size.
    this.#state = isDigit || this.#digits === "" ? "lost" : "extension";
    return at;
  }

  /** Passes over the rest of a line, behind a size or behind the data. */
  #takeLineEnd(piece: Buffer, at: number): number {
    const end = piece.indexOf(LINE_FEED, at);
    if (end < 0) return piece.length;
    if (this.#state === "data_end") this.#state = "size";
    else {
      this.#dataBytes = Number.parseInt(this.#digits, 16);
      this.#digits = "";
      this.#state = this.#dataBytes === 0 ? "fields" : "data";
    }
    return end + 1;
  }
}
