import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { SystemClock } from "#model";
import {
  encodeFrame,
  encodeMessage,
  FrameReader,
  MAX_FRAME_BYTES,
} from "./frames.ts";
import type { LinkFault } from "./link.ts";
import { MAX_MESSAGE_BYTES } from "./message_parts.ts";
import type { Hello } from "./messages.ts";
import { TcpNetwork } from "./network.ts";
import { PROTOCOL_VERSIONS } from "./protocol_versions.ts";
import { encodedOnce } from "./shared_values.ts";

const ROUTE = { name: "r", pathPrefix: "x".repeat(100) };

/** A configuration change of about so many bytes. */
function changeOf(bytes: number) {
  const changed = Array.from({ length: bytes / 130 }, (_, i) => ({
    ...ROUTE,
    name: `r${i}`,
  }));
  return { from: 0, to: 7, hostRoutes: { changed } };
}

function hello(id: string): Hello {
  const version = PROTOCOL_VERSIONS.oldest;
  return { id, role: "entry", incarnation: 1, cluster: "test", version };
}

/** Waits until a condition holds, or for some seconds. */
async function waitFor(condition: () => boolean): Promise<boolean> {
  for (let i = 0; i < 200 && !condition(); i++) await delay(20);
  return condition();
}

// Failure: a configuration that is longer than a frame reached no entry that started.
test("a message that is longer than a frame is read whole, however it is cut", () => {
  for (const keys of ["full", "short"] as const) {
    for (const isShared of [false, true]) {
      const change = changeOf(2 * MAX_FRAME_BYTES);
      const payload = {
        version: 7,
        change: isShared ? encodedOnce(change) : change,
        ageMs: 1,
      };
      const options = { keys };
      const encoded = encodeMessage("state", payload, options)._unsafeUnwrap();
      assert.ok(encoded.bytes > MAX_FRAME_BYTES);
      const stream = Buffer.concat([
        ...encoded.pieces,
        encodeFrame("ping", null)._unsafeUnwrap(),
      ]);
      const reader = new FrameReader();
      const read = [];
      for (let at = 0; at < stream.length; at += 99_991) {
        const chunk = stream.subarray(at, at + 99_991);
        read.push(...reader.push(chunk)._unsafeUnwrap());
      }
      assert.deepEqual(read, [
        { kind: "state", payload },
        { kind: "ping", payload: null },
      ]);
    }
  }
});

test("a message has a bound, and so have the parts that arrive", () => {
  const payload = { change: changeOf(1.2 * MAX_MESSAGE_BYTES) };
  const encoded = encodeMessage("state", payload, { keys: "full" });
  assert.equal(encoded._unsafeUnwrapErr().type, "frame_too_long");
  const part = ["part", [false, Buffer.alloc(900_000)]] as const;
  const frame = encodeFrame(...part)._unsafeUnwrap();
  const reader = new FrameReader();
  const results = Array.from({ length: 6 }, () => reader.push(frame));
  const faults = results.flatMap((result) =>
    result.isErr() ? result.error.type : [],
  );
  assert.equal(faults[0], "frame_too_long");
});

test("a part that is none closes the link", () => {
  for (const payload of [null, "x", [true], [true, "text"]]) {
    const frame = encodeFrame("part", payload)._unsafeUnwrap();
    const read = new FrameReader().push(frame);
    assert.equal(read._unsafeUnwrapErr().type, "frame_malformed");
  }
});

test("a long message reaches a peer that takes parts, over send and broadcast", async (t) => {
  const networks = ["a", "b"].map(
    (id) =>
      new TcpNetwork<Record<string, unknown>>({
        self: hello(id),
        clock: new SystemClock(),
      }),
  );
  const [a, b] = networks as [TcpNetwork<Record<string, unknown>>, never];
  t.after(() => {
    for (const network of networks) network.close();
  });
  const [, receiver] = networks;
  const received: unknown[] = [];
  receiver?.handle("state", (payload) => received.push(payload));
  const address = (
    await a.listen({ host: "127.0.0.1", port: 0 })
  )._unsafeUnwrap();
  receiver?.setPeers([{ address }]);
  assert.ok(await waitFor(() => a.isConnected("b")), `${b}`);
  const payload = { change: changeOf(1.5 * MAX_FRAME_BYTES) };
  assert.ok(a.send("b", "state", payload));
  a.broadcast(["b"], "state", payload);
  assert.ok(await waitFor(() => received.length === 2));
  assert.deepEqual(received, [payload, payload]);
});

// A build that takes one frame would close the link at the first part.
test("a peer of an earlier build is sent no parts", async (t) => {
  const faults: LinkFault["type"][] = [];
  const network = new TcpNetwork<Record<string, unknown>>({
    self: hello("a"),
    clock: new SystemClock(),
    observer: { onFault: ({ type }) => faults.push(type) },
  });
  const listening = await network.listen({ host: "127.0.0.1", port: 0 });
  const socket = connect(listening._unsafeUnwrap());
  socket.on("error", () => undefined);
  const received: Buffer[] = [];
  socket.on("data", (bytes: Buffer) => received.push(bytes));
  t.after(() => {
    network.close();
    socket.destroy();
  });
  socket.write(encodeFrame("hello", hello("older"))._unsafeUnwrap());
  assert.ok(await waitFor(() => network.isConnected("older")));
  const payload = { change: changeOf(1.5 * MAX_FRAME_BYTES) };
  assert.equal(network.send("older", "state", payload), false);
  assert.deepEqual(faults, ["frame_too_long"]);
  const { length } = Buffer.concat(received);
  assert.ok(length < 1_000, `${length} bytes`);
});
