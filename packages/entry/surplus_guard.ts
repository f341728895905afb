import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/**
 * Closes connections on which a server sends bytes after the end of its
 * response, when no request awaits them. Node would read and drop them.
 */
export class SurplusGuard {
  readonly #listeners = new WeakMap<Socket, (bytes: Buffer) => void>();

  /** To be called when a response begins; watches until the next request. */
  watch(response: IncomingMessage, onSurplus: (bytes: number) => void): void {
    const { socket } = response;
    const listener = (bytes: Buffer) => {
      if (!response.complete || socket.destroyed) return;
      socket.destroy();
      onSurplus(bytes.length);
    };
    // Called before the parser, so that bytes of the response do not count.
    socket.prependListener("data", listener);
    this.#listeners.set(socket, listener);
  }

  /** To be called when a request is sent on a connection. */
  release(socket: Socket): void {
    const listener = this.#listeners.get(socket);
    if (listener) socket.off("data", listener);
    this.#listeners.delete(socket);
  }
}
