import assert from "node:assert/strict";
import { createServer, type IncomingMessage, request } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { BackendAgent, READ_BYTES } from "./backend_agent.ts";

const BODY = Buffer.from(
  Uint8Array.from({ length: 300_000 }, (_, index) => index % 251),
);

// Otherwise one read of thousands of short messages delays all other calls.
test("responses are read whole and in small pieces", async (t) => {
  const server = createServer((_request, response) => response.end(BODY));
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const agent = new BackendAgent({ keepAlive: true });
  t.after(() => {
    agent.destroy();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  // The connection is used a second time.
  for (let i = 0; i < 2; i++) {
    const response = await new Promise<IncomingMessage>((resolve) => {
      request({ host: "127.0.0.1", port, agent }, resolve).end();
    });
    const pieces: Buffer[] = [];
    for await (const piece of response) pieces.push(piece);
    const longest = Math.max(...pieces.map((piece) => piece.length));
    assert.ok(longest <= READ_BYTES, `${longest} bytes at once`);
    assert.ok(Buffer.concat(pieces).equals(BODY));
  }
});
