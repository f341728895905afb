import assert from "node:assert/strict";
import { IncomingMessage, type ServerResponse } from "node:http";
import { Socket } from "node:net";
import { Writable } from "node:stream";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { until } from "../demo/until.ts";
import type { StreamedResponse } from "./backend_response.ts";
import {
  type ExceededBound,
  ResponseMeter,
  UNDELAYED_PARTS,
} from "./response_bounds.ts";
import { ResponseStream, type StreamEnd } from "./response_stream.ts";

/** A connection to a caller, which takes a write when the test says so. */
class CallerConnection extends Writable {
  readonly writes: Buffer[] = [];
  #taken: (() => void) | undefined;

  constructor() {
    super({ highWaterMark: 1 });
  }

  override _write(part: Buffer, _encoding: string, taken: () => void): void {
    this.writes.push(part);
    this.#taken = taken;
  }

  take(): void {
    this.#taken?.();
  }
}

function startStream(excess?: ExceededBound) {
  const stream = new IncomingMessage(new Socket());
  const to = new CallerConnection();
  const from = {
    stream,
    meter: new ResponseMeter({ bodyMaxBytes: 1_000_000 }),
    isTruncated: () => false,
    exceeded: () => excess,
  } as unknown as StreamedResponse;
  const ends: StreamEnd[] = [];
  const forwarding = new ResponseStream(from, to as unknown as ServerResponse, {
    onEnd: (end) => ends.push(end),
  });
  forwarding.start();
  return { stream, to, ends };
}

// Otherwise short chunks cost a write each.
test("the parts that are read in one turn are forwarded in one write", async () => {
  const { stream, to } = startStream();
  await nextTurn();
  for (let i = 0; i < 10; i++) stream.push(Buffer.from(`${i}`));
  await nextTurn();
  assert.deepEqual(to.writes.map(String), ["0123456789"]);
});

// Otherwise a fast server fills the memory of the entry.
test("no more is read while the caller does not take what was written", async () => {
  const { stream, to } = startStream();
  await nextTurn();
  stream.push(Buffer.from("first"));
  await nextTurn();
  const isRead = () => stream.push(Buffer.from("x"));
  for (let i = 0; i < 5; i++) {
    isRead();
    await nextTurn();
  }
  assert.ok(stream.isPaused());
  assert.deepEqual(to.writes.map(String), ["first"]);
  to.take();
  await until(() => to.writes.length === 2, { what: "the rest is written" });
  assert.equal(String(to.writes[1]), "xxxxx");
});

// Otherwise chunks of a byte take the event loop from other calls.
test("reading pauses after a read of many short parts", async () => {
  const { stream, to } = startStream();
  await nextTurn();
  for (let i = 0; i <= 100 * UNDELAYED_PARTS; i++)
    stream.push(Buffer.from("x"));
  await nextTurn();
  assert.equal(to.writes.length, 1);
  to.take();
  await nextTurn();
  assert.ok(stream.isPaused());
  await until(() => !stream.isPaused(), { what: "reading goes on" });
});

// Otherwise the line of the request does not tell why it was broken off.
test("a stream that ends with an exceeded bound names the bound", async () => {
  const excess = { bound: "framing_bytes", bytes: 200_000 } as const;
  const { stream, to, ends } = startStream(excess);
  stream.destroy(new Error("aborted"));
  await until(() => to.destroyed, {
    what: "the caller's connection is broken",
  });
  assert.deepEqual(ends, [{ type: "exceeded", excess }]);
});
