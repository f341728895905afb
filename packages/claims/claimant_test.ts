import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandomness } from "#model";
import { Claimant } from "./claimant.ts";
import type { ClaimEffect } from "./effects.ts";
import type { Verdict } from "./messages.ts";
import { at, EPOCH, KEY, viewOf } from "./test_support.ts";

function claimant(view = viewOf(["x", "y", "z"])) {
  const randomness = new SeededRandomness(1);
  const own = new Claimant({ self: "m", incarnation: 7, randomness });
  own.configure({ view, formerViews: [] }, at());
  const call = { callId: "c", key: KEY, fingerprint: 1, waitMs: 3_000 };
  const started = own.claim(call, at());
  const reply = (from: string, verdict: Verdict, options = {}) => {
    const name = { key: KEY, incarnation: 7, attempt: 1, holder: 1 };
    const payload = { ...name, verdict, ...options };
    return own.receive(from, { kind: "claim.reply", payload }, at(5));
  };
  return { own, reply, started };
}

function summary(effects: readonly ClaimEffect[]): string[] {
  const lines = effects.map((effect) => {
    if (effect.type === "send") return `${effect.kind} ${effect.to}`;
    if (effect.type !== "denied") return effect.type;
    return `${effect.fault.code} ${effect.fault.outcome}`;
  });
  return lines.sort();
}

const RELEASES = ["x", "y", "z"].map((to) => `claim.release ${to}`);
const GRANTED = { type: "granted" } as const;
const FIRST = { type: "held", host: "z", ticket: 0, gone: false } as const;
const SECOND = { type: "held", host: "z", ticket: 1, gone: false } as const;

test("a grant for a former incarnation does not count", () => {
  const { reply } = claimant();
  assert.deepEqual(reply("x", GRANTED, { incarnation: 6 }), []);
  assert.deepEqual(summary(reply("y", GRANTED)), []);
});

test("a grant that comes twice counts once", () => {
  const { reply } = claimant();
  reply("x", GRANTED);
  assert.deepEqual(summary(reply("x", GRANTED)), []);
});

test("a grant of a restarted holder does not count", () => {
  const { reply } = claimant();
  reply("x", GRANTED);
  assert.deepEqual(summary(reply("y", GRANTED, { holder: 2 })), []);
});

test("a late refusal does not undo a grant", () => {
  const { reply } = claimant();
  reply("x", GRANTED);
  reply("x", SECOND);
  assert.deepEqual(summary(reply("y", GRANTED)), ["granted"]);
});

test("of two rivals without a quorum the first keeps its votes", () => {
  const behind = claimant();
  behind.reply("x", GRANTED);
  behind.reply("y", FIRST);
  assert.deepEqual(summary(behind.reply("z", FIRST)), RELEASES);
  const ahead = claimant();
  ahead.reply("x", GRANTED);
  ahead.reply("y", SECOND);
  assert.deepEqual(summary(ahead.reply("z", SECOND)), []);
});

test("a vote for a given-up attempt is given back when it comes late", () => {
  const { own, reply } = claimant();
  assert.deepEqual(summary(own.cancel("c", at(5))), RELEASES);
  assert.deepEqual(summary(reply("x", GRANTED)), ["claim.release x"]);
});

test("a lost release or settlement is sent again when a holder asks", () => {
  const { own, reply } = claimant();
  reply("x", GRANTED);
  reply("y", GRANTED);
  const payload = { key: KEY, incarnation: 7, attempt: 1 };
  const inquiry = { kind: "claim.inquiry", payload } as const;
  assert.deepEqual(own.receive("z", inquiry, at(6)), []);
  own.settle("c", { type: "ran" }, at(7));
  const told = own.receive("z", inquiry, at(8));
  assert.deepEqual(summary(told), ["claim.settle z"]);
});

test("a call that waits needs the holders of a new view too", () => {
  const { own, reply } = claimant();
  reply("x", GRANTED);
  const former = { ...viewOf(["x", "y", "z"]), ended: EPOCH };
  const view = viewOf(["x", "v", "w"], { epoch: 2, began: EPOCH });
  const asked = own.configure({ view, formerViews: [former] }, at(5));
  assert.equal(asked.length, 4);
  assert.deepEqual(summary(reply("y", GRANTED)), []);
  assert.deepEqual(summary(reply("v", GRANTED)), ["granted"]);
});

test("votes that satisfy a smaller new view win at once", () => {
  const { own, reply } = claimant();
  reply("x", GRANTED);
  const view = viewOf(["x"], { epoch: 2, began: 0 });
  const effects = own.configure({ view, formerViews: [] }, at(5));
  assert.deepEqual(summary(effects), ["granted"]);
});

const FULL = { type: "full" } as const;
const RESTARTED = { type: "restarted" } as const;
const SETTLED = { type: "settled" } as const;
const GONE = { ...FIRST, gone: true };
const UNPROVED = "claim_unavailable unknown";
const ENDS: [name: string, verdicts: Verdict[], end: string][] = [
  ["full holders prove", [FULL, FULL, FULL], "claim_unavailable not-run"],
  ["one full holder proves nothing", [FULL], UNPROVED],
  ["silent holders prove nothing", [], UNPROVED],
  [
    "restarted holders prove nothing",
    [GRANTED, RESTARTED, RESTARTED],
    UNPROVED,
  ],
  ["a restarted claimant's claim stays", [GONE, GONE], "already_run unknown"],
  [
    "an end without a stored answer is told",
    [SETTLED, SETTLED, SETTLED],
    "already_run unknown",
  ],
  [
    "a key of another request is refused",
    [{ type: "other_request" }],
    "invalid_request unknown",
  ],
];

for (const [name, verdicts, end] of ENDS) {
  test(name, () => {
    const { own, reply } = claimant();
    const effects = verdicts.flatMap((verdict, i) =>
      reply("xyz"[i] ?? "", verdict),
    );
    // All other ends are told at once.
    if (end === UNPROVED) effects.push(...own.tick(at(500)));
    const ends = summary(effects).filter((e) => !e.startsWith("claim."));
    assert.deepEqual(ends, [end]);
    assert.equal(own.pending, 0);
  });
}

test("a call waits for a running rival as long as its caller does", () => {
  const { own, reply } = claimant();
  for (const id of "xyz") reply(id, FIRST);
  const ends: string[] = [];
  for (let now = 25; now <= 3_000; now += 25) {
    const effects = own.tick(at(now));
    for (const effect of effects) {
      if (effect.type !== "send" || effect.kind !== "claim.request") continue;
      const payload = { ...effect.payload, verdict: FIRST };
      own.receive(effect.to, { kind: "claim.reply", payload }, at(now));
    }
    for (const line of summary(effects)) {
      if (!line.startsWith("claim.")) ends.push(`${now} ${line}`);
    }
  }
  assert.deepEqual(ends, ["3000 already_running unknown"]);
});
