import { IncomingMessage } from "node:http";

/**
 * Body parts below this are gathered. A chunk of one byte arrives as a buffer of
 * its own, which takes a hundred times its memory.
 */
const SMALL_PART_BYTES = 512;
/** Size of a buffer of gathered parts. */
const GATHERED_BYTES = 4_096;

/** Is told what a request makes the process hold. */
export interface RequestAccount {
  /** The memory that is held for the body has changed by so many bytes. */
  charge(request: TrackedRequest, bytes: number): void;
  /** The request has arrived whole. */
  complete(request: TrackedRequest): void;
}

/** A request whose small body parts are gathered into larger ones. */
export class TrackedRequest extends IncomingMessage {
  /** Told what the request holds, while it has no whole answer. */
  account: RequestAccount | undefined;
  /** Bytes of the head as they came; 0 on connections of other processes. */
  headTextBytes = 0;
  /** Body parts that were parsed. */
  parts = 0;
  /**
   * Whether small parts are gathered, which needs a caller of `flush`; connections
   * of other processes have none.
   */
  gathersParts = true;
  #bodyBytes = 0;
  #heldBytes = 0;
  /** The first small part, or the buffer with several. */
  #gathered: Buffer | undefined;
  #gatheredBytes = 0;
  #maxBytes = Number.POSITIVE_INFINITY;
  #onExcess: (() => void) | undefined;

  /** Bytes of the body that have not arrived; undefined if only its end will tell. */
  get remainingBytes(): number | undefined {
    const length = this.headers["content-length"];
    return length === undefined ? undefined : Number(length) - this.#bodyBytes;
  }

  /**
   * Calls back once when the body exceeds a length; what follows is discarded. To
   * be called for a body whose length only its end will tell.
   */
  limitBody(maxBytes: number, onExcess: () => void): void {
    this.#maxBytes = maxBytes;
    this.#onExcess = onExcess;
    // Both may be in one read: the end of an earlier reader, and the excess.
    if (this.#bodyBytes > maxBytes) this.#exceed();
  }

  /** Bytes that are held for the body. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Sets the memory that is held for the body. */
  hold(bytes: number): void {
    const change = bytes - this.#heldBytes;
    this.#heldBytes = bytes;
    if (change !== 0) this.account?.charge(this, change);
  }

  override push(part: Buffer | null, encoding?: BufferEncoding): boolean {
    if (part === null) {
      this.#flush();
      this.account?.complete(this);
      return super.push(null);
    }
    this.parts += 1;
    this.#bodyBytes += part.length;
    if (this.#bodyBytes > this.#maxBytes) {
      this.#exceed();
      return true;
    }
    if (part.length >= SMALL_PART_BYTES || !this.gathersParts) {
      this.#flush();
      return super.push(part, encoding);
    }
    this.#gather(part);
    return true;
  }

  /** Passes gathered parts on; to be called when a read has been parsed. */
  flush(): void {
    if (!this.#flush()) this.socket.pause();
  }

  #exceed(): void {
    this.#gathered = undefined;
    const onExcess = this.#onExcess;
    this.#onExcess = undefined;
    onExcess?.();
  }

  #gather(part: Buffer): void {
    const gathered = this.#gathered;
    if (!gathered) {
      this.#gathered = part;
      this.#gatheredBytes = part.length;
      return;
    }
    if (this.#gatheredBytes + part.length > GATHERED_BYTES) {
      this.#flush();
      this.#gather(part);
      return;
    }
    // Only a gathering buffer has the full size; a part is smaller.
    let buffer = gathered;
    if (buffer.length !== GATHERED_BYTES) {
      buffer = Buffer.allocUnsafeSlow(GATHERED_BYTES);
      gathered.copy(buffer);
      this.#gathered = buffer;
    }
    part.copy(buffer, this.#gatheredBytes);
    this.#gatheredBytes += part.length;
  }

  /** Returns false if the body is not read fast enough. */
  #flush(): boolean {
    const gathered = this.#gathered;
    if (!gathered) return true;
    this.#gathered = undefined;
    return super.push(gathered.subarray(0, this.#gatheredBytes));
  }
}
