import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandomness } from "#model";
import { Claimant } from "./claimant.ts";
import type { ClaimEffect } from "./effects.ts";
import type { Verdict } from "./messages.ts";
import { at, KEY, TEST_START, viewOf } from "./test_support.ts";

function startClaim(view = viewOf(["x", "y", "z"])) {
  const randomness = new SeededRandomness(1);
  const claimant = new Claimant({ self: "m", incarnation: 7, randomness });
  claimant.configure({ view, formerViews: [] }, at());
  const call = { callId: "c", key: KEY, fingerprint: 1, waitMs: 3_000 };
  const started = claimant.claim(call, at());
  const reply = (from: string, verdict: Verdict, options = {}) => {
    const attemptId = { key: KEY, incarnation: 7, attempt: 1, holder: 1 };
    const payload = { ...attemptId, verdict, ...options };
    return claimant.receive(from, { kind: "claim.reply", payload }, at(5));
  };
  return { claimant, reply, started };
}

function summarize(effects: readonly ClaimEffect[]): string[] {
  const lines = effects.map((effect) => {
    if (effect.type === "send") return `${effect.kind} ${effect.to}`;
    if (effect.type !== "denied") return effect.type;
    return `${effect.fault.code} ${effect.fault.outcome}`;
  });
  return lines.sort();
}

const RELEASES = ["x", "y", "z"].map((to) => `claim.release ${to}`);
const GRANTED = { type: "granted" } as const;
const HELD_BY_EARLIER = {
  type: "held",
  host: "z",
  ticket: 0,
  gone: false,
} as const;
const HELD_BY_LATER = {
  type: "held",
  host: "z",
  ticket: 1,
  gone: false,
} as const;

test("a grant for an earlier incarnation does not count", () => {
  const { reply } = startClaim();
  assert.deepEqual(reply("x", GRANTED, { incarnation: 6 }), []);
  assert.deepEqual(summarize(reply("y", GRANTED)), []);
});

test("a duplicate grant counts once", () => {
  const { reply } = startClaim();
  reply("x", GRANTED);
  assert.deepEqual(summarize(reply("x", GRANTED)), []);
});

test("a grant of a restarted holder does not count", () => {
  const { reply } = startClaim();
  reply("x", GRANTED);
  assert.deepEqual(summarize(reply("y", GRANTED, { holder: 2 })), []);
});

test("a late refusal does not undo a grant", () => {
  const { reply } = startClaim();
  reply("x", GRANTED);
  reply("x", HELD_BY_LATER);
  assert.deepEqual(summarize(reply("y", GRANTED)), ["granted"]);
});

test("of two rivals without a quorum, the one with priority keeps its votes", () => {
  const behind = startClaim();
  behind.reply("x", GRANTED);
  behind.reply("y", HELD_BY_EARLIER);
  assert.deepEqual(summarize(behind.reply("z", HELD_BY_EARLIER)), RELEASES);
  const ahead = startClaim();
  ahead.reply("x", GRANTED);
  ahead.reply("y", HELD_BY_LATER);
  assert.deepEqual(summarize(ahead.reply("z", HELD_BY_LATER)), []);
});

test("a late vote for a cancelled attempt is released", () => {
  const { claimant, reply } = startClaim();
  assert.deepEqual(summarize(claimant.cancel("c", at(5))), RELEASES);
  assert.deepEqual(summarize(reply("x", GRANTED)), ["claim.release x"]);
});

test("a lost release or settlement is resent when a holder inquires", () => {
  const { claimant, reply } = startClaim();
  reply("x", GRANTED);
  reply("y", GRANTED);
  const payload = { key: KEY, incarnation: 7, attempt: 1 };
  const inquiry = { kind: "claim.inquiry", payload } as const;
  assert.deepEqual(claimant.receive("z", inquiry, at(6)), []);
  claimant.settle("c", { type: "ran" }, at(7));
  const effects = claimant.receive("z", inquiry, at(8));
  assert.deepEqual(summarize(effects), ["claim.settle z"]);
});

test("an undecided claim also needs the holders of a new view", () => {
  const { claimant, reply } = startClaim();
  reply("x", GRANTED);
  const former = { ...viewOf(["x", "y", "z"]), ended: TEST_START };
  const view = viewOf(["x", "v", "w"], { epoch: 2, began: TEST_START });
  const requests = claimant.configure({ view, formerViews: [former] }, at(5));
  assert.equal(requests.length, 4);
  assert.deepEqual(summarize(reply("y", GRANTED)), []);
  assert.deepEqual(summarize(reply("v", GRANTED)), ["granted"]);
});

test("votes that form a quorum in a smaller new view win at once", () => {
  const { claimant, reply } = startClaim();
  reply("x", GRANTED);
  const view = viewOf(["x"], { epoch: 2, began: 0 });
  const effects = claimant.configure({ view, formerViews: [] }, at(5));
  assert.deepEqual(summarize(effects), ["granted"]);
});

const FULL = { type: "full" } as const;
const RESTARTED = { type: "restarted" } as const;
const SETTLED = { type: "settled" } as const;
const HELD_BY_RESTARTED = { ...HELD_BY_EARLIER, gone: true };
const UNAVAILABLE_UNKNOWN = "claim_unavailable unknown";
const VERDICT_CASES: [name: string, verdicts: Verdict[], end: string][] = [
  [
    "full holders prove that the request did not run",
    [FULL, FULL, FULL],
    "claim_unavailable not-run",
  ],
  ["one full holder proves nothing", [FULL], UNAVAILABLE_UNKNOWN],
  ["silent holders prove nothing", [], UNAVAILABLE_UNKNOWN],
  [
    "restarted holders prove nothing",
    [GRANTED, RESTARTED, RESTARTED],
    UNAVAILABLE_UNKNOWN,
  ],
  [
    "the claim of a restarted claimant is not released",
    [HELD_BY_RESTARTED, HELD_BY_RESTARTED],
    "already_run unknown",
  ],
  [
    "a settlement without a stored answer is reported",
    [SETTLED, SETTLED, SETTLED],
    "already_run unknown",
  ],
  [
    "a key of another request is rejected",
    [{ type: "other_request" }],
    "invalid_request unknown",
  ],
];

for (const [name, verdicts, end] of VERDICT_CASES) {
  test(name, () => {
    const { claimant, reply } = startClaim();
    const effects = verdicts.flatMap((verdict, i) =>
      reply("xyz"[i] ?? "", verdict),
    );
    // In all other cases the claim is denied at once.
    if (end === UNAVAILABLE_UNKNOWN) effects.push(...claimant.tick(at(500)));
    const ends = summarize(effects).filter((e) => !e.startsWith("claim."));
    assert.deepEqual(ends, [end]);
    assert.equal(claimant.pendingCount, 0);
  });
}

test("a claim waits for a running rival up to the caller's deadline", () => {
  const { claimant, reply } = startClaim();
  for (const id of "xyz") reply(id, HELD_BY_EARLIER);
  const ends: string[] = [];
  for (let now = 25; now <= 3_000; now += 25) {
    const effects = claimant.tick(at(now));
    for (const effect of effects) {
      if (effect.type !== "send" || effect.kind !== "claim.request") continue;
      const payload = { ...effect.payload, verdict: HELD_BY_EARLIER };
      claimant.receive(effect.to, { kind: "claim.reply", payload }, at(now));
    }
    for (const line of summarize(effects)) {
      if (!line.startsWith("claim.")) ends.push(`${now} ${line}`);
    }
  }
  assert.deepEqual(ends, ["3000 already_running unknown"]);
});
