import assert from "node:assert/strict";
import { test } from "node:test";
import { CLAIM_RETENTION_MS, ClaimHolder } from "./claim_holder.ts";
import type { ClaimMessages, ClaimRequest, Verdict } from "./messages.ts";
import { at, KEY, keyAt, TEST_START, viewOf } from "./test_support.ts";

const ANSWER = { status: 200, headers: [], body: new Uint8Array(100) };
const REQUEST: ClaimRequest = {
  key: KEY,
  incarnation: 1,
  attempt: 1,
  ticket: 1,
  holder: 1,
  epoch: 1,
  fingerprint: 1,
};

function createHolder(limits?: { claims: number; answerBytes: number }) {
  const claims = new ClaimHolder({ incarnation: 1, limits });
  const send =
    <K extends keyof ClaimMessages>(kind: K) =>
    (from: string, payload: Partial<ClaimMessages[K]>, now = 0) => {
      const message = { kind, payload: { ...REQUEST, ...payload } };
      const effects = claims.receive(from, message as never, at(now));
      const first = effects[0];
      return first?.kind === "claim.reply" ? first.payload.verdict : undefined;
    };
  const ask = send("claim.request");
  const settle = send("claim.settle");
  const release = send("claim.release");
  return { ask, claims, release, settle };
}

const AFTER_RETENTION_MS = CLAIM_RETENTION_MS + 1;
type TestHolder = ReturnType<typeof createHolder>;
const NO_SETUP = () => undefined;
const claimed = ({ ask }: TestHolder) => ask("a", {});
const REFUSALS: [
  name: string,
  before: (held: TestHolder) => unknown,
  verdict: Verdict["type"],
  request?: Partial<ClaimRequest>,
][] = [
  ["a request to an earlier incarnation", NO_SETUP, "restarted", { holder: 0 }],
  [
    "a claimant with a view older than its own",
    ({ claims }) => claims.configure(viewOf(["a"], { epoch: 2 })),
    "stale_view",
  ],
  [
    "a claimant with a view older than that of another claimant",
    ({ ask }) => ask("a", { key: keyAt(TEST_START, 2), epoch: 2 }),
    "stale_view",
  ],
  ["another call of the same entry", claimed, "held", { attempt: 2 }],
  [
    "the same attempt of a restarted claimant",
    claimed,
    "held",
    { incarnation: 2 },
  ],
  [
    "another request with the same key",
    claimed,
    "other_request",
    { fingerprint: 2 },
  ],
  [
    "a claim after a release by another entry",
    (held) => [claimed(held), held.release("b", {})],
    "held",
    { attempt: 2 },
  ],
  [
    "a claim after a settlement and a late release",
    (held) => [claimed(held), held.settle("a", {}), held.release("a", {})],
    "settled",
  ],
  [
    "a claim when its memory is full",
    ({ ask }) => [2, 3].map((n) => ask("a", { key: keyAt(TEST_START, n) })),
    "full",
  ],
];

for (const [name, before, verdict, request = {}] of REFUSALS) {
  test(`a holder refuses ${name}`, () => {
    const held = createHolder({ claims: 2, answerBytes: 1_000 });
    before(held);
    const size = held.claims.size;
    assert.equal(held.ask("a", request)?.type, verdict);
    assert.equal(held.claims.size, size);
  });
}

test("a delayed request is refused after the claim on its key has expired", () => {
  const { ask, claims } = createHolder();
  ask("a", {});
  assert.equal(ask("b", {}, AFTER_RETENTION_MS)?.type, "key_refused");
  assert.equal(claims.size, 0);
});

test("stored answers stay within their limit, and an evicted one is reported", () => {
  const { ask, claims, settle } = createHolder({
    claims: 100,
    answerBytes: 1_000,
  });
  for (let n = 0; n < 50; n++) {
    ask("a", { key: keyAt(TEST_START, n) });
    settle("a", { key: keyAt(TEST_START, n), answer: ANSWER });
  }
  assert.equal(claims.answerBytes, 1_000);
  const verdict = (n: number) => ask("b", { key: keyAt(TEST_START, n) });
  assert.deepEqual(verdict(0), { type: "settled", answer: undefined });
  assert.deepEqual(verdict(49), { type: "settled", answer: ANSWER });
  claims.tick(AFTER_RETENTION_MS);
  assert.deepEqual([claims.size, claims.answerBytes], [0, 0]);
});

test("a stored answer does not keep its network chunk in memory", () => {
  const { ask, settle } = createHolder();
  ask("a", {});
  const body = new Uint8Array(64 * 1024).subarray(0, 10);
  settle("a", { answer: { status: 200, headers: [], body } });
  const verdict = ask("b", {});
  assert.ok(verdict?.type === "settled", verdict?.type);
  assert.equal(verdict.answer?.body.buffer.byteLength, 10);
});

test("an answer above 16 KiB is not stored", () => {
  const { ask, claims, settle } = createHolder();
  ask("a", {});
  const body = new Uint8Array(16 * 1024 + 1);
  settle("a", { answer: { status: 200, headers: [], body } });
  assert.deepEqual([claims.size, claims.answerBytes], [1, 0]);
});
