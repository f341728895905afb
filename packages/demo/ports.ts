import { createServer, type Server } from "node:net";

const HOST = "127.0.0.1";
/**
 * A listener on it needs the port to be free on each address: processes that an
 * interrupted run has left may hold it on other loopback addresses only.
 */
const ALL_ADDRESSES = "0.0.0.0";
/** Below the ephemeral range, so that no outgoing connection takes a port. */
const FIRST_PORT = 24_000;
const BLOCK_COUNT = 125;
const BLOCK_SIZE = 64;

/** Ports for one site, reserved against other tests on the same machine. */
export interface PortBlock {
  /** Differs between blocks that are reserved at the same time; up to 124. */
  readonly index: number;
  /** The next port of the block. */
  take(): number;
  release(): void;
}

/**
 * Reserves a block of loopback ports. The first port of a block stays bound as
 * its lock: a port that is merely free now may be taken by another test before
 * the process that needs it has started.
 */
export async function reservePorts(): Promise<PortBlock> {
  const start = process.pid % BLOCK_COUNT;
  for (let attempt = 0; attempt < BLOCK_COUNT; attempt++) {
    const index = (start + attempt) % BLOCK_COUNT;
    const first = FIRST_PORT + index * BLOCK_SIZE;
    const lock = await bind(first, ALL_ADDRESSES);
    if (!lock) continue;
    if (await areAllPortsFree(first)) return new LockedBlock(index, lock);
    lock.close();
  }
  throw new Error("no block of loopback ports is free");
}

class LockedBlock implements PortBlock {
  readonly index: number;
  readonly #endPort: number;
  readonly #lock: Server;
  #lastPort: number;

  constructor(index: number, lock: Server) {
    const first = FIRST_PORT + index * BLOCK_SIZE;
    this.index = index;
    this.#lastPort = first;
    this.#endPort = first + BLOCK_SIZE;
    this.#lock = lock;
  }

  take(): number {
    this.#lastPort += 1;
    if (this.#lastPort >= this.#endPort)
      throw new Error("the block has no more ports");
    return this.#lastPort;
  }

  release(): void {
    this.#lock.close();
  }
}

async function areAllPortsFree(first: number): Promise<boolean> {
  const rest = Array.from({ length: BLOCK_SIZE - 1 }, (_, i) => first + 1 + i);
  const servers = await Promise.all(
    rest.map((port) => bind(port, ALL_ADDRESSES)),
  );
  for (const server of servers) server?.close();
  return servers.every((server) => server !== undefined);
}

function bind(port: number, host = HOST): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(undefined));
    server.listen(port, host, () => resolve(server));
  });
}

/**
 * Returns TCP ports that are free now. Another process may take one before it
 * is used, so tests call `reservePorts` instead.
 */
export async function freePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, () => bind(0)),
  );
  const ports = servers.map((server) => {
    const bound = server?.address();
    return typeof bound === "object" && bound ? bound.port : 0;
  });
  for (const server of servers) server?.close();
  return ports;
}
