import assert from "node:assert/strict";
import { test } from "node:test";
import { encodeFrame, FrameReader, MAX_FRAME_BYTES } from "./frames.ts";

test("a frame cut at every byte arrives once and whole", () => {
  const frame = encodeFrame("load", {
    server: "a",
    inFlight: 3,
  })._unsafeUnwrap();
  for (let cut = 1; cut < frame.length; cut++) {
    const reader = new FrameReader();
    const first = reader.push(frame.subarray(0, cut))._unsafeUnwrap();
    const second = reader.push(frame.subarray(cut))._unsafeUnwrap();
    assert.deepEqual(
      [...first, ...second],
      [{ kind: "load", payload: { server: "a", inFlight: 3 } }],
    );
  }
});

const BAD_STREAMS = [
  {
    name: "a length above the limit",
    bytes: [0xff, 0xff, 0xff, 0xff],
    type: "frame_too_long",
  },
  {
    name: "a body that is not CBOR",
    bytes: [0, 0, 0, 2, 0xff, 0xff],
    type: "frame_malformed",
  },
  {
    name: "an item that is not a pair",
    bytes: [0, 0, 0, 1, 0x01],
    type: "frame_malformed",
  },
  {
    name: "a kind that is not a string",
    bytes: [0, 0, 0, 3, 0x82, 0x01, 0x01],
    type: "frame_malformed",
  },
];

for (const { name, bytes, type } of BAD_STREAMS) {
  test(`the reader refuses ${name}`, () => {
    const result = new FrameReader().push(Buffer.from(bytes));
    assert.equal(result._unsafeUnwrapErr().type, type);
  });
}

test("a message above the limit is refused by the sender", () => {
  const result = encodeFrame("blob", Buffer.alloc(MAX_FRAME_BYTES + 1));
  assert.equal(result._unsafeUnwrapErr().type, "frame_too_long");
});
