import type { Server } from "node:net";
import { err, ok, type Result } from "neverthrow";
import type { Address } from "#model";

export type ListenFault = {
  readonly type: "listen_failed";
  readonly address: Address;
  readonly detail: string;
};

/** Binds a TCP or HTTP server; resolves with its address and actual port. */
export function listen(
  server: Server,
  address: Address,
): Promise<Result<Address, ListenFault>> {
  return new Promise((resolve) => {
    server.once("error", (error) => {
      const detail = error.message;
      resolve(err({ type: "listen_failed", address, detail }));
    });
    server.listen(address.port, address.host, () => {
      const bound = server.address();
      const port =
        typeof bound === "object" && bound ? bound.port : address.port;
      resolve(ok({ host: address.host, port }));
    });
  });
}
