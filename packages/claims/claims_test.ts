import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandomness } from "#model";
import { Claims } from "./claims.ts";
import type { Settlement } from "./effects.ts";
import { at, entryOf, KEY } from "./test_support.ts";

const AT = at();

function startCluster(count: number) {
  const entries = Array.from({ length: count }, (_, i) =>
    entryOf(`e${i}`, { dataCentre: `dc${i % 4}` }),
  );
  const view = { epoch: 1, entries, began: 0 };
  const all = new Map(
    entries.map(({ id, incarnation }, seed) => {
      const randomness = new SeededRandomness(seed);
      return [id, new Claims({ self: id, incarnation, randomness })];
    }),
  );
  const log: string[] = [];
  const run = (at: string, effects: ReturnType<Claims["tick"]>) => {
    for (const effect of effects) {
      if (effect.type === "send") {
        run(effect.to, all.get(effect.to)?.receive(at, effect, AT) ?? []);
      } else if (effect.type === "denied") {
        log.push(`${effect.callId} ${effect.fault.code}`);
      } else log.push(`${effect.callId} ${effect.type}`);
    }
  };
  for (const [id, claims] of all) {
    run(id, claims.configure({ view, formerViews: [] }, AT));
  }
  const claim = (id: string, callId: string) => {
    const call = { callId, key: KEY, fingerprint: 1, waitMs: 1_000 };
    run(id, all.get(id)?.claim(call, AT) ?? []);
  };
  return { all, claim, log, run };
}

const answer = { status: 201, headers: [], body: new Uint8Array([1]) };
const SETTLEMENT_CASES: [Settlement, string][] = [
  [{ type: "ran", answer }, "replayed"],
  [{ type: "not_started" }, "granted"],
];

for (const count of [1, 2, 3, 16]) {
  for (const [end, second] of SETTLEMENT_CASES) {
    test(`after ${end.type} a resend is ${second}, ${count} entries`, () => {
      const { all, claim, log, run } = startCluster(count);
      claim("e0", "first");
      run("e0", all.get("e0")?.settle("first", end, AT) ?? []);
      claim(`e${count - 1}`, "resend");
      assert.deepEqual(log, ["first granted", `resend ${second}`]);
    });
  }
}
