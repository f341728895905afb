import { createServer, type Server } from "node:net";

const HOST = "127.0.0.1";
/** Below the ephemeral range, so that no outgoing connection takes a port. */
const FIRST_PORT = 24_000;
const BLOCKS = 125;
const BLOCK_SIZE = 64;

/** Ports for one site, held against other tests of the same machine. */
export interface PortBlock {
  /** The next port of the block. */
  take(): number;
  release(): void;
}

/**
 * Reserves a block of loopback ports. The first port of a block stays bound as
 * its lock, because a port that was only probed may be taken by another test
 * before the process that needs it has started.
 */
export async function reservePorts(): Promise<PortBlock> {
  const start = process.pid % BLOCKS;
  for (let turn = 0; turn < BLOCKS; turn++) {
    const first = FIRST_PORT + ((start + turn) % BLOCKS) * BLOCK_SIZE;
    const lock = await bind(first);
    if (!lock) continue;
    if (await allFree(first)) return new LockedBlock(first, lock);
    lock.close();
  }
  throw new Error("no block of loopback ports is free");
}

class LockedBlock implements PortBlock {
  readonly #end: number;
  readonly #lock: Server;
  #last: number;

  constructor(first: number, lock: Server) {
    this.#last = first;
    this.#end = first + BLOCK_SIZE;
    this.#lock = lock;
  }

  take(): number {
    this.#last += 1;
    if (this.#last >= this.#end) throw new Error("the block has no more ports");
    return this.#last;
  }

  release(): void {
    this.#lock.close();
  }
}

async function allFree(first: number): Promise<boolean> {
  const rest = Array.from({ length: BLOCK_SIZE - 1 }, (_, i) => first + 1 + i);
  const servers = await Promise.all(rest.map(bind));
  for (const server of servers) server?.close();
  return servers.every((server) => server !== undefined);
}

function bind(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(undefined));
    server.listen(port, HOST, () => resolve(server));
  });
}

/**
 * Finds TCP ports that are free at this moment, in any number. Another process
 * may take one before it is used, so that tests reserve a block instead.
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
