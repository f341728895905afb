import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { test } from "node:test";
import { ConnectionFeed, TurnQueue } from "./connection_feed.ts";

/** A feed whose parser keeps what it is passed. */
function createFeed() {
  const parsed: Buffer[] = [];
  const held: number[] = [];
  const socket = Object.assign(new EventEmitter(), {
    destroyed: false,
    isPaused: () => false,
    pause: () => undefined,
    resume: () => undefined,
    unshift: () => undefined,
  });
  socket.on("data", (bytes: Buffer) => parsed.push(Buffer.from(bytes)));
  new ConnectionFeed(socket as unknown as Socket, {
    state: {
      pendingRequests: 0,
      requests: 0,
      isOver: false,
      incomplete: undefined,
    },
    turns: new TurnQueue(),
    fields: {
      bounds: () => ({ bytesMax: 100_000, fieldsMax: 2_000 }),
      onHeld: (bytes) => held.push(bytes),
      onExceeded: () => assert.fail("no bound is passed"),
    },
  });
  const send = (text: string) => socket.emit("data", Buffer.from(text));
  const text = () => Buffer.concat(parsed).toString("latin1");
  return { send, held, text };
}

// Failure: a head that comes byte by byte takes an object for each byte, a hundred times
// what it is charged for, and a crowd of them ends the process.
test("fields that come byte by byte are held in one buffer", () => {
  const { send, held, text } = createFeed();
  const line = "GET / HTTP/1.1\r\n";
  const fields = `x: ${"y".repeat(10_000)}\r\n\r\n`;
  send(line);
  for (const byte of fields) {
    assert.equal(text(), line, "they are passed on at their end");
    send(byte);
  }
  assert.equal(text(), line + fields);
  assert.equal(held.pop(), 0, "nothing is held behind the end");
  const sizes = [...new Set(held)];
  assert.ok(sizes.length <= 6, `${sizes.length} sizes of the buffer`);
  assert.ok(Math.max(...sizes) <= 2 * fields.length);
});

test("a short head that comes whole is passed on at once", () => {
  const { send, held, text } = createFeed();
  const head = "\r\nGET / HTTP/1.1\r\nhost: a\r\n\r\n";
  send(head);
  assert.equal(text(), head);
  assert.deepEqual(held, []);
});
