import assert from "node:assert/strict";
import { test } from "node:test";
import type { Hello } from "./messages.ts";
import { RefusedMessages } from "./refused_messages.ts";

const PEER: Hello = {
  id: "host-1",
  role: "entry",
  incarnation: 1,
  cluster: "test",
  version: 1,
  build: "c67bfad",
};

function createLog() {
  const lines: unknown[] = [];
  let now = 0;
  const refused = new RefusedMessages({
    clock: { now: () => now, wallTime: () => now },
    logger: { warn: (_, details) => lines.push(details) },
  });
  return { refused, lines, advance: (ms: number) => (now += ms) };
}

// Guards against an end of a process or a lost message that no log explains.
test("a refused message is logged with its kind, its peer and the peer's build", () => {
  const { refused, lines } = createLog();
  refused.record({ kind: "state", detail: "version: expected number" }, PEER);
  assert.deepEqual(lines, [
    {
      peer: "host-1",
      peerRole: "entry",
      peerBuild: "c67bfad",
      kind: "state",
      detail: "version: expected number",
      times: 1,
    },
  ]);
});

// Guards against a peer of another build that fills the log.
test("repeated refusals of one kind and peer are counted in one line", () => {
  const { refused, lines, advance } = createLog();
  for (let i = 0; i < 1_000; i++)
    refused.record({ kind: "state", detail: "odd" }, PEER);
  assert.equal(lines.length, 1);
  advance(10_000);
  refused.record({ kind: "state", detail: "odd" }, PEER);
  assert.equal((lines[1] as { times: number }).times, 1_000);
});

// Guards against peers that name themselves anew and grow the memory of others.
test("refusals of many peers take a bounded number of lines", () => {
  const { refused, lines } = createLog();
  for (let i = 0; i < 10_000; i++) {
    const peer = { ...PEER, id: `host-${i}` };
    refused.record({ kind: "state", detail: "odd" }, peer);
  }
  assert.ok(lines.length <= 257, `${lines.length} lines`);
});
