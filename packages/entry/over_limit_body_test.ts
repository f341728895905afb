import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { HttpServer } from "#wire";
import { readBody, watchBodyLimit } from "./request_body.ts";

const MAX_BYTES = 200_000;
const CHUNK = `10000\r\n${"x".repeat(65_536)}\r\n`;

// Guards against a chunked body that is read for ever.
test("a chunked body over the limit is told once and not passed on", async (t) => {
  const excesses: string[] = [];
  let passedOn = 0;
  const limits = { maxBytes: MAX_BYTES, timeoutMs: 5_000 };
  const server = new HttpServer({}, async (request, response) => {
    const { head, rest } = (await readBody(request, limits))._unsafeUnwrap();
    passedOn += head.length;
    watchBodyLimit(request, limits, (detail) => {
      excesses.push(detail);
      response.shouldKeepAlive = false;
      response.writeHead(413).end();
    });
    rest?.on("data", (part: Buffer) => {
      passedOn += part.length;
    });
    rest?.resume();
  });
  t.after(() => server.destroy());
  const listening = await server.listen({ host: "127.0.0.1", port: 0 });
  const socket = connect(listening._unsafeUnwrap());
  let text = "";
  socket.on("data", (part) => {
    text += part.toString("latin1");
  });
  socket.on("error", () => undefined);
  socket.write(
    "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
  );
  for (let count = 0; count < 20; count++) socket.write(CHUNK);
  await new Promise((resolve) => socket.once("close", resolve));
  assert.equal(excesses.length, 1);
  assert.ok(passedOn <= MAX_BYTES, `${passedOn} bytes`);
  assert.match(text, /^HTTP\/1\.1 413 /);
});
