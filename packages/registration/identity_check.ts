import { request } from "node:http";
import type { BackendServer } from "#model";
import type { Identity } from "#presence";

/** An announcement waits for it, and its sender waits for a second at most. */
const TIMEOUT_MS = 300;

/** Asks a server's address for the id of the server there. */
export function checkIdentity(
  server: BackendServer,
  options: {
    /** Path of a health check. */
    readonly path: string;
    /** Header of the answer that names the answering server. */
    readonly header: string;
  },
): Promise<Identity> {
  const { address, id } = server;
  const { path, header } = options;
  return new Promise((resolve) => {
    try {
      const outgoing = request({
        host: address.host,
        port: address.port,
        path,
        agent: false,
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      outgoing.once("response", (response) => {
        const answering = response.headers[header];
        response.destroy();
        if (answering === undefined) resolve("unknown");
        else resolve(answering === id ? "same" : "other");
      });
      // The answer is known by then, and a late error of the connection is not one.
      outgoing.on("error", () => resolve("unknown"));
      outgoing.once("close", () => resolve("unknown"));
      outgoing.end();
    } catch {
      // Node throws on a path that it cannot send.
      resolve("unknown");
    }
  });
}
