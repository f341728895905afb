import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { test } from "node:test";
import type { Address, BackendServer } from "#model";
import { listen } from "#wire";
import { BackendClient } from "./backend_client.ts";
import { PublishedProtocol } from "./call_protocol.ts";
import { EMPTY_BODY } from "./request_body.ts";

const RESPONSE_HEADS = {
  contentLength: "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n",
  connectionClose: "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n",
  chunked: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
} as const;
const CHUNK = "5\r\nhello\r\n";

/** Sends a request to a server that writes its response with `answer`. */
async function sendRequest(answer: (socket: Socket) => void) {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => answer(socket));
  });
  const bound = await listen(server, { host: "127.0.0.1", port: 0 });
  const address: Address = bound._unsafeUnwrap();
  const record: BackendServer = {
    id: "w",
    service: "s",
    address,
    dataCentre: "a",
    incarnation: 1,
    sequence: 1,
    state: "ready",
    slots: 1,
    connections: 1,
    inFlight: 0,
    startedMsAgo: 0,
  };
  const client = new BackendClient(new PublishedProtocol());
  const { result } = client.send(record, {
    method: "GET",
    path: "/",
    headers: ["host", "w"],
    body: EMPTY_BODY,
    connectTimeoutMs: 1_000,
    requestId: undefined,
  });
  const ended = await result;
  client.close();
  server.close();
  return ended;
}

const RESETS = {
  "with the last bytes": (socket: Socket, text: string) =>
    socket.write(text, () => socket.resetAndDestroy()),
  "after the last bytes": (socket: Socket, text: string) =>
    socket.write(text, () => setTimeout(() => socket.resetAndDestroy(), 20)),
};

for (const [framing, head] of Object.entries(RESPONSE_HEADS)) {
  const text = framing === "chunked" ? head + CHUNK : `${head}hello`;
  for (const [when, reset] of Object.entries(RESETS)) {
    // Otherwise the truncated response reaches the caller as a success.
    test(`a response with ${framing} framing that is reset ${when} fails`, async () => {
      const ended = await sendRequest((socket) => reset(socket, text));
      assert.equal(ended.type, "fault");
    });
  }
}

test("a response without a length ends with its connection", async () => {
  const ended = await sendRequest((socket) =>
    socket.end(`${RESPONSE_HEADS.connectionClose}hello`),
  );
  assert.equal(ended.type, "answer");
  if (ended.type === "answer") {
    assert.equal(ended.response.body?.toString(), "hello");
  }
});
