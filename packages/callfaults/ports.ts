import { createServer, type Server } from "node:net";

const HOST = "127.0.0.1";
/** Below the ephemeral range, so that no outgoing connection takes a port. */
const FIRST_PORT = 12_000;
const BLOCKS = 100;
const BLOCK_SIZE = 32;

/** Ports for one site, held against other tests of the same machine. */
export interface PortBlock {
  readonly ports: readonly number[];
  release(): void;
}

/**
 * Reserves a block of loopback ports. Its first port stays bound as a lock,
 * because a restarted process needs its port again.
 */
export async function reservePorts(): Promise<PortBlock> {
  const start = process.pid % BLOCKS;
  for (let turn = 0; turn < BLOCKS; turn++) {
    const first = FIRST_PORT + ((start + turn) % BLOCKS) * BLOCK_SIZE;
    const lock = await bind(first);
    if (!lock) continue;
    const ports = Array.from(
      { length: BLOCK_SIZE - 1 },
      (_, i) => first + 1 + i,
    );
    const servers = await Promise.all(ports.map(bind));
    for (const server of servers) server?.close();
    if (servers.every((server) => server !== undefined)) {
      return { ports, release: () => lock.close() };
    }
    lock.close();
  }
  throw new Error("no block of loopback ports is free");
}

function bind(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(undefined));
    server.listen(port, HOST, () => resolve(server));
  });
}
