import { Agent, type AgentOptions, type ClientRequestArgs } from "node:http";
import { connect, type NetConnectOpts, type Socket } from "node:net";

/**
 * Bytes that are read from a server at a time. All of them are parsed before
 * the event loop goes on; Node's default of 64 KiB holds thousands of short
 * messages.
 */
export const READ_BYTES = 16 * 1024;
const readBuffer = Buffer.allocUnsafeSlow(READ_BYTES);

/** A pool of connections to one backend server. */
export class BackendAgent extends Agent {
  readonly #onOpen: (socket: Socket) => void;

  constructor(
    options: AgentOptions & {
      /** Called with each connection as it is opened. */
      onOpen?: (socket: Socket) => void;
    } = {},
  ) {
    const { onOpen, ...others } = options;
    super(others);
    this.#onOpen = onOpen ?? (() => undefined);
  }

  override createConnection(options: ClientRequestArgs): Socket {
    const pooled: NetConnectOpts & { readableHighWaterMark: number } = {
      ...(options as NetConnectOpts),
      // Also the mark of responses: a body is not read ahead of its consumer.
      readableHighWaterMark: 1,
      onread: {
        buffer: readBuffer,
        // The buffer is used again for the next read, of any connection.
        callback: (length: number, buffer: Uint8Array) =>
          socket.push(Buffer.from(buffer.subarray(0, length))),
      },
    };
    const socket: Socket = connect(pooled);
    this.#onOpen(socket);
    return socket;
  }
}
