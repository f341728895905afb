import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Called with the number of bytes that were received. */
interface ReceiveHandlers {
  /** Bytes of the response, after those that came with its head. */
  readonly onBytes: (bytes: number) => void;
  /** Bytes after the end of the response; the connection is closed. */
  readonly onSurplus: (bytes: number) => void;
}

/**
 * Watches what is received on connections to servers. It closes those on which
 * a server sends bytes after the end of its response, when no request awaits
 * them: Node would read and drop them.
 */
export class ReceiveGuard {
  readonly #listeners = new WeakMap<Socket, (bytes: Buffer) => void>();

  /** To be called when a response begins; watches until the next request. */
  watch(response: IncomingMessage, handlers: ReceiveHandlers): void {
    const { socket } = response;
    const listener = (bytes: Buffer) => {
      if (socket.destroyed) return;
      if (!response.complete) {
        handlers.onBytes(bytes.length);
        return;
      }
      socket.destroy();
      handlers.onSurplus(bytes.length);
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
