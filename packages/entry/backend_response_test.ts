import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { test } from "node:test";
import type { Address } from "#model";
import { listen } from "#wire";
import { BackendClient } from "./backend_client.ts";
import { PublishedProtocol } from "./call_protocol.ts";
import { EMPTY_BODY } from "./request_body.ts";
import { serverRecord } from "./test_server_record.ts";

const RESPONSE_HEADS = {
  contentLength: "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n",
  connectionClose: "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n",
  chunked: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
} as const;
const CHUNK = "5\r\nhello\r\n";

const WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

/**
 * Sends a request to a server that writes its response with `answer`, after one
 * that got a whole response on the same connection if it is kept.
 */
async function sendRequest(
  answer: (socket: Socket) => void,
  { isKept = false } = {},
) {
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    socket.on("error", () => undefined);
    socket.once("data", () => {
      if (!isKept) {
        answer(socket);
        return;
      }
      socket.write(WHOLE);
      socket.once("data", () => answer(socket));
    });
  });
  const bound = await listen(server, { host: "127.0.0.1", port: 0 });
  const address: Address = bound._unsafeUnwrap();
  const record = serverRecord(address.port);
  const client = new BackendClient(new PublishedProtocol());
  const request = {
    method: "GET",
    path: "/",
    headers: ["host", "w"],
    body: EMPTY_BODY,
    connectTimeoutMs: 1_000,
    requestId: undefined,
  };
  try {
    if (isKept) await client.send(record, request).result;
    const ended = await client.send(record, request).result;
    assert.equal(connections, 1);
    return ended;
  } finally {
    // A server that stays open would keep the process of the tests from ending.
    client.close();
    server.close();
  }
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

// Its body could not be told from a short one, and its coding is not passed on, so
// that callers got a part of a body in an encoding that no header named.
for (const coding of ["gzip", "gzip, chunked", "identity"]) {
  for (const [how, end] of Object.entries({
    closed: (socket: Socket, text: string) => socket.end(text),
    reset: RESETS["after the last bytes"],
  })) {
    test(`a response with the transfer coding ${coding} that is ${how} fails`, async () => {
      const head = `HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\n`;
      const body = coding.endsWith("chunked") ? `${CHUNK}0\r\n\r\n` : "hello";
      const ended = await sendRequest((socket) => end(socket, head + body));
      assert.equal(ended.type, "fault");
    });
  }
}

const INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
const CUT_RESPONSES = {
  "a length": "HTTP/1.1 200 OK\r\nX: 1\r\nContent-Length: 12\r\n\r\n",
  "a length of 0": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: 1\r\n\r\n",
  chunks: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
  "the close of its connection": "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n",
  "no body": "HTTP/1.1 204 No Content\r\nX: 1\r\n\r\n",
  "an informational response": `${INTERIM}HTTP/1.1 200 OK\r\nX: 1\r\n\r\n`,
  "line feeds only": "HTTP/1.1 200 OK\nContent-Length: 0\nX: 1\n\n",
  "a length and a body": `${RESPONSE_HEADS.contentLength}${"x".repeat(100)}`,
  "chunks and a body": `${RESPONSE_HEADS.chunked}${CHUNK}${CHUNK}0\r\n\r\n`,
  "chunks and a trailer": `${RESPONSE_HEADS.chunked}${CHUNK}0\r\nX: 1\r\n\r\n`,
} as const;
const ENDS = {
  closed: (socket: Socket, text: string) => socket.end(text),
  reset: RESETS["with the last bytes"],
};

// Callers of other systems got a 200 with an empty or short body, framed as whole,
// when a server stopped in the middle of its response's head.
for (const [framing, bytes] of Object.entries(CUT_RESPONSES)) {
  for (const [how, end] of Object.entries(ENDS)) {
    for (const isKept of [false, true]) {
      const connection = isKept ? "kept" : "new";
      test(`a response with ${framing} on a ${connection} connection that is ${how} before its end fails`, async () => {
        const cuts = Array.from({ length: bytes.length }, (_, cut) => cut);
        const results = await Promise.all(
          cuts.map((cut) =>
            sendRequest((socket) => end(socket, bytes.slice(0, cut)), {
              isKept,
            }),
          ),
        );
        const answered = cuts.filter((cut) => results[cut]?.type === "answer");
        assert.deepEqual(
          answered.map((cut) => bytes.slice(0, cut)),
          [],
        );
      });
    }
  }
}
