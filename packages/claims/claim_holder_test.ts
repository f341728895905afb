import assert from "node:assert/strict";
import { test } from "node:test";
import { CLAIM_KEPT_MS, ClaimHolder } from "./claim_holder.ts";
import type { ClaimMessages, ClaimRequest, Verdict } from "./messages.ts";
import { at, EPOCH, KEY, keyAt, viewOf } from "./test_support.ts";

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

function holder(limits?: { claims: number; answerBytes: number }) {
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

const LATE = CLAIM_KEPT_MS + 1;
type Held = ReturnType<typeof holder>;
const NOTHING = () => undefined;
const claimed = ({ ask }: Held) => ask("a", {});
const REFUSALS: [
  name: string,
  before: (held: Held) => unknown,
  verdict: Verdict["type"],
  request?: Partial<ClaimRequest>,
][] = [
  ["a request for a former incarnation", NOTHING, "restarted", { holder: 0 }],
  [
    "a claimant with a view that it knows to be over",
    ({ claims }) => claims.configure(viewOf(["a"], { epoch: 2 })),
    "stale_view",
  ],
  [
    "a claimant behind another claimant's view",
    ({ ask }) => ask("a", { key: keyAt(EPOCH, 2), epoch: 2 }),
    "stale_view",
  ],
  ["another call of the same entry", claimed, "held", { attempt: 2 }],
  ["a restarted claimant's same number", claimed, "held", { incarnation: 2 }],
  ["a key of another request", claimed, "other_request", { fingerprint: 2 }],
  [
    "a claim after a release by another entry",
    (held) => [claimed(held), held.release("b", {})],
    "held",
    { attempt: 2 },
  ],
  [
    "a second run after a settlement and a late release",
    (held) => [claimed(held), held.settle("a", {}), held.release("a", {})],
    "settled",
  ],
  [
    "a claim when its memory is full",
    ({ ask }) => [2, 3].map((n) => ask("a", { key: keyAt(EPOCH, n) })),
    "full",
  ],
];

for (const [name, before, verdict, request = {}] of REFUSALS) {
  test(`a holder refuses ${name}`, () => {
    const held = holder({ claims: 2, answerBytes: 1_000 });
    before(held);
    const size = held.claims.size;
    assert.equal(held.ask("a", request)?.type, verdict);
    assert.equal(held.claims.size, size);
  });
}

test("a request that comes after its key's claims are forgotten is refused", () => {
  const { ask, claims } = holder();
  ask("a", {});
  assert.equal(ask("b", {}, LATE)?.type, "key_refused");
  assert.equal(claims.size, 0);
});

test("stored answers stay within their limit, and a lost one is said", () => {
  const { ask, claims, settle } = holder({ claims: 100, answerBytes: 1_000 });
  for (let n = 0; n < 50; n++) {
    ask("a", { key: keyAt(EPOCH, n) });
    settle("a", { key: keyAt(EPOCH, n), answer: ANSWER });
  }
  assert.equal(claims.answerBytes, 1_000);
  const verdict = (n: number) => ask("b", { key: keyAt(EPOCH, n) });
  assert.deepEqual(verdict(0), { type: "settled", answer: undefined });
  assert.deepEqual(verdict(49), { type: "settled", answer: ANSWER });
  claims.tick(LATE);
  assert.deepEqual([claims.size, claims.answerBytes], [0, 0]);
});

test("a stored answer does not keep the received chunk in memory", () => {
  const { ask, settle } = holder();
  ask("a", {});
  const body = new Uint8Array(64 * 1024).subarray(0, 10);
  settle("a", { answer: { status: 200, headers: [], body } });
  const verdict = ask("b", {});
  assert.ok(verdict?.type === "settled", verdict?.type);
  assert.equal(verdict.answer?.body.buffer.byteLength, 10);
});

test("an answer above 16 KiB is not kept", () => {
  const { ask, claims, settle } = holder();
  ask("a", {});
  const body = new Uint8Array(16 * 1024 + 1);
  settle("a", { answer: { status: 200, headers: [], body } });
  assert.deepEqual([claims.size, claims.answerBytes], [1, 0]);
});
