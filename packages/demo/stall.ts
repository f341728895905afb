import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import type { TestContext } from "node:test";

/** Keeps the event loop from running, so that timers are due before what arrives. */
export function stall(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

/** Both ends of a connection in this process, whose port accepts no further one. */
export async function openConnection(
  t: TestContext,
): Promise<{ own: Socket; peer: Socket; port: number }> {
  const listener = createServer();
  listener.listen(0, "127.0.0.1");
  await once(listener, "listening");
  const { port } = listener.address() as AddressInfo;
  const accepted = once(listener, "connection");
  const own = connect(port, "127.0.0.1");
  const [[peer]] = await Promise.all([accepted, once(own, "connect")]);
  listener.close();
  t.after(() => {
    own.destroy();
    peer.destroy();
  });
  return { own, peer: peer as Socket, port };
}
