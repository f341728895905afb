import type { IncomingMessage } from "node:http";
import { GrowingBuffer } from "./growing_buffer.ts";
import { TrackedRequest } from "./tracked_request.ts";

/** The parts of a request body in a growing buffer, charged to the connection. */
export class BodyBuffer {
  readonly #request: IncomingMessage;
  readonly #buffer = new GrowingBuffer();

  constructor(request: IncomingMessage) {
    this.#request = request;
  }

  get length(): number {
    return this.#buffer.length;
  }

  append(part: Buffer): void {
    this.#buffer.append(part);
    if (this.#request instanceof TrackedRequest)
      this.#request.hold(this.#buffer.capacity);
  }

  /** The bytes so far. */
  take(): Buffer {
    return this.#buffer.take();
  }
}
