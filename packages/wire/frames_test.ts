import assert from "node:assert/strict";
import { test } from "node:test";
import { encodeFrame, FrameReader, MAX_FRAME_BYTES } from "./frames.ts";
import { encodedOnce } from "./shared_values.ts";
import { SHORT_KEYS } from "./short_keys.ts";

test("a frame split at any byte is read once and whole", () => {
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
  test(`the reader rejects ${name}`, () => {
    const result = new FrameReader().push(Buffer.from(bytes));
    assert.equal(result._unsafeUnwrapErr().type, type);
  });
}

test("a message above the size limit is not encoded", () => {
  const result = encodeFrame("blob", Buffer.alloc(MAX_FRAME_BYTES + 1));
  assert.equal(result._unsafeUnwrapErr().type, "frame_too_long");
});

const GRANT = {
  service: "alloc",
  epoch: 12,
  sequence: 1234,
  grants: [{ ticket: 881, server: "s-1", other: null }],
  waitedMs: { urgent: -1, patient: 2.5 },
  avoid: [],
  1: "a key that looks like a number",
};

// Full field names were over half of the bytes between data centres.
test("short field names decode to the same message and save a third", () => {
  const full = encodeFrame("grant", GRANT)._unsafeUnwrap();
  const short = encodeFrame("grant", GRANT, { keys: "short" })._unsafeUnwrap();
  for (const frame of [full, short]) {
    const [read] = new FrameReader().push(frame)._unsafeUnwrap();
    assert.deepEqual(read, { kind: "grant", payload: GRANT });
  }
  assert.ok(2 * (full.length - 40) > 3 * (short.length - 40));
});

// A process with an older table would decode a moved name as another one.
test("short keys are unique and keep their positions", () => {
  assert.equal(new Set(SHORT_KEYS).size, SHORT_KEYS.length);
  assert.deepEqual(SHORT_KEYS.slice(0, 4), [
    "service",
    "epoch",
    "sequence",
    "acknowledged",
  ]);
  assert.equal(SHORT_KEYS[51], "change");
});

// Guards against peers that cannot read a message with a value that is encoded once,
// or get something else than without it.
for (const keys of ["short", "full"] as const) {
  for (const [name, value] of [
    ["a small value", { service: "alloc", list: [1, { sequence: 2 }] }],
    ["an empty value", {}],
    ["a list", ["a", 70_000, -1.5]],
    ["a large value", { text: "ä".repeat(100_000) }],
  ] as const) {
    test(`${name} that is encoded once gives the same frames, ${keys} keys`, () => {
      const shared = encodedOnce(value);
      const messages = (change: unknown) => [
        { version: 70_000, sequence: 1, change, ageMs: 12.5 },
        { version: 1, sequence: 300, change },
        { change, ageMs: null, [`x${"y".repeat(300)}`]: "z" },
        { change },
      ];
      const expected = messages(structuredClone(value));
      for (const [index, payload] of messages(shared).entries()) {
        const frame = encodeFrame("state", payload, { keys });
        const plain = encodeFrame("state", expected[index], { keys });
        assert.deepEqual(frame._unsafeUnwrap(), plain._unsafeUnwrap());
      }
    });
  }
}

// Guards against a large value that is encoded for each peer to which it is sent.
test("a value that several messages share is encoded once per key encoding", () => {
  let reads = 0;
  const value = encodedOnce({
    get text() {
      reads += 1;
      return "a";
    },
  });
  for (const keys of ["short", "short", "full", "full", "short"] as const) {
    encodeFrame("state", { sequence: reads, change: value }, { keys });
  }
  assert.equal(reads, 2);
});

// Guards against a link on which a frame is sent that the peer refuses.
test("a message whose shared value is above the size limit is not encoded", () => {
  const change = encodedOnce({ bytes: Buffer.alloc(MAX_FRAME_BYTES) });
  for (let i = 0; i < 2; i++) {
    const result = encodeFrame("state", { version: 1, change });
    assert.equal(result._unsafeUnwrapErr().type, "frame_too_long");
  }
});
