import assert from "node:assert/strict";
import { test } from "node:test";
import { CALM, Simulation } from "./test_simulation.ts";

function empty(size: number, seed = 1): Simulation {
  return new Simulation({ seed, size, isFormed: false });
}

function phases(s: Simulation) {
  return s.hosts.map(({ core }) => core?.status(s.now).phase ?? "down");
}

function clusters(s: Simulation): string[] {
  const all = s.hosts.map(({ disk }) => disk.state().founding);
  const formed = all.filter((founding) => founding?.formed);
  return [...new Set(formed.map((founding) => founding?.cluster ?? ""))];
}

for (const size of [1, 3, 5]) {
  test(`${size} empty folders form one cluster`, () => {
    const s = empty(size);
    assert.ok(s.runUntil(() => s.leader(), 5_000));
    s.run(1_000);
    assert.ok(phases(s).every((phase) => phase === "formed"));
    assert.equal(clusters(s).length, 1);
  });
}

// Guards against a second cluster beside one that cannot be reached.
test("no cluster forms while a founder does not answer", () => {
  const s = empty(3);
  const silent = s.host("c");
  s.crash(silent);
  s.run(20_000);
  assert.deepEqual(phases(s), ["empty", "empty", "down"]);
  s.start(silent);
  assert.ok(s.runUntil(() => s.leader(), 5_000));
});

for (const { lost, unreachable } of [
  { lost: ["a"], unreachable: ["b", "c"] },
  { lost: ["c"], unreachable: ["a", "b"] },
  { lost: ["a", "b"], unreachable: ["c"] },
  { lost: ["b", "c"], unreachable: ["a"] },
  { lost: ["a", "b"], unreachable: [] },
]) {
  const rest = unreachable.length > 0 ? `${unreachable} unreachable` : "none";
  test(`lost disks of ${lost} with ${rest} do not found again`, () => {
    const s = empty(3);
    assert.ok(s.runUntil(() => s.leader(), 5_000));
    s.run(1_000);
    s.partition(unreachable);
    for (const id of lost) {
      s.loseDisk(s.host(id));
      s.start(s.host(id));
    }
    s.run(20_000);
    for (const id of lost) {
      const status = s.host(id).core?.status(s.now);
      assert.equal(status?.phase, "empty", id);
      assert.equal(status?.term, 0, `${id} takes no part in elections`);
    }
    assert.equal(clusters(s).length, 1);
    // The intact members go on by themselves if they are a majority.
    assert.equal(s.leader() !== undefined, lost.length === 1);
  });
}

test("all folders lost is a new cluster", () => {
  const s = empty(3);
  assert.ok(s.runUntil(() => s.leader(), 5_000));
  const [former] = clusters(s);
  for (const host of s.hosts) s.loseDisk(host);
  for (const host of s.hosts) s.start(host);
  s.run(5_000);
  assert.equal(clusters(s).length, 1);
  assert.notEqual(clusters(s)[0], former);
});

// Guards against a founding that waits for an identity that is gone.
test("a late message of a lost identity does not stop the founding", () => {
  const s = empty(3);
  s.weather = { ...CALM, delay: 400 };
  const lost = s.host("c");
  const from = s.keyOf(lost);
  s.loseDisk(lost);
  s.start(lost);
  const isBound = () => lost.core?.status(s.now).phase === "founding";
  assert.ok(s.runUntil(isBound, 5_000));
  const convener = s.host("a").core;
  const message = { kind: "agreement.inquiry", payload: { from } } as const;
  convener?.receive("c", message, s.now);
  assert.ok(s.runUntil(() => s.leader(), 8_000));
});

// Guards against two clusters or a stuck founding when a disk is lost at the
// worst moment. Only a convener (a) that loses its disk may leave it stuck.
test("a disk lost at any moment of the founding splits nothing", () => {
  for (let seed = 1; seed <= 300; seed++) {
    const s = empty(3, seed);
    s.weather = { loss: 0.2, duplication: 0.2, delay: 400, syncDelay: 100 };
    const victim = s.hosts[seed % 3];
    assert.ok(victim);
    s.run(s.random.below(3_000));
    s.loseDisk(victim);
    s.at(s.random.below(1_000), () => s.start(victim));
    s.run(4_000);
    s.weather = CALM;
    s.run(8_000);
    assert.ok(clusters(s).length <= 1, `seed ${seed}: ${clusters(s)}`);
    const hasLeader = s.leader() !== undefined;
    assert.ok(victim.id === "a" || hasLeader, `seed ${seed}: ${s.describe()}`);
  }
});
