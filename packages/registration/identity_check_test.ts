import assert from "node:assert/strict";
import { createServer, type RequestListener } from "node:http";
import { type AddressInfo, createServer as createTcpServer } from "node:net";
import { test } from "node:test";
import type { BackendServer } from "#model";
import { checkIdentity } from "./identity_check.ts";

const HEADER = "x-server-id";

function serverAt(port: number): BackendServer {
  const address = { host: "127.0.0.1", port };
  return { id: "w1", service: "alloc", address } as BackendServer;
}

// Guards against an address that counts as a server's although another one, or
// nothing, answers there, and against an error that ends the process.
for (const [name, { answer, path, expected }] of Object.entries<{
  answer: RequestListener;
  path?: string;
  expected: string;
}>({
  "its own id": {
    answer: (_, response) => response.setHeader(HEADER, "w1").end(),
    expected: "same",
  },
  "another id": {
    answer: (_, response) => response.setHeader(HEADER, "W1").end(),
    expected: "other",
  },
  "its own id and a refusal": {
    answer: (_, response) =>
      response.setHeader(HEADER, "w1").writeHead(503).end(),
    expected: "same",
  },
  "its own id and a body without end": {
    answer: (_, response) => response.setHeader(HEADER, "w1").write("a"),
    expected: "same",
  },
  "no id": { answer: (_, response) => response.end(), expected: "unknown" },
  nothing: { answer: () => undefined, expected: "unknown" },
  "a reset": {
    answer: ({ socket }) => socket.resetAndDestroy(),
    expected: "unknown",
  },
  "a path that cannot be sent": {
    answer: (_, response) => response.setHeader(HEADER, "w1").end(),
    path: "/\u0000 x",
    expected: "unknown",
  },
})) {
  test(`an address that answers with ${name}: ${expected}`, async () => {
    const server = createServer(answer);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve),
    );
    const { port } = server.address() as AddressInfo;
    const options = { path: path ?? "/health", header: HEADER };
    assert.equal(await checkIdentity(serverAt(port), options), expected);
    server.close();
    server.closeAllConnections();
  });
}

test("an address that accepts no connection is unknown", async () => {
  const server = createTcpServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  const options = { path: "/health", header: HEADER };
  assert.equal(await checkIdentity(serverAt(port), options), "unknown");
});
