import assert from "node:assert/strict";
import { test } from "node:test";
import { NO_FAULTS, Simulation } from "./test_simulation.ts";

function emptyFolders(size: number, seed = 1): Simulation {
  return new Simulation({ seed, size, isFormed: false });
}

function phases(s: Simulation) {
  return s.hosts.map(({ core }) => core?.status(s.now).phase ?? "down");
}

function formedClusters(s: Simulation): string[] {
  const all = s.hosts.map(({ disk }) => disk.state().founding);
  const formed = all.filter((founding) => founding?.formed);
  return [...new Set(formed.map((founding) => founding?.cluster ?? ""))];
}

for (const size of [1, 3, 5]) {
  test(`${size} empty folders form one cluster`, () => {
    const s = emptyFolders(size);
    assert.ok(s.runUntil(() => s.leader(), 5_000));
    s.run(1_000);
    assert.ok(phases(s).every((phase) => phase === "formed"));
    assert.equal(formedClusters(s).length, 1);
  });
}

// Failure: a second cluster forms while the existing one cannot be reached.
test("no cluster forms while a founder does not reply", () => {
  const s = emptyFolders(3);
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
  const reachability =
    unreachable.length > 0 ? `${unreachable} unreachable` : "none";
  // Failure: hosts that lost their disks form a second cluster.
  test(`hosts ${lost} that lost their disks (${reachability}) form no cluster`, () => {
    const s = emptyFolders(3);
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
    assert.equal(formedClusters(s).length, 1);
    // The intact members keep a leader if they are a majority.
    assert.equal(s.leader() !== undefined, lost.length === 1);
  });
}

test("a new cluster forms when all data folders are lost", () => {
  const s = emptyFolders(3);
  assert.ok(s.runUntil(() => s.leader(), 5_000));
  const [former] = formedClusters(s);
  for (const host of s.hosts) s.loseDisk(host);
  for (const host of s.hosts) s.start(host);
  s.run(5_000);
  assert.equal(formedClusters(s).length, 1);
  assert.notEqual(formedClusters(s)[0], former);
});

// Failure: the bootstrap waits for an identity that no longer exists, because a
// delayed message of a lost data folder arrives after the new one is bound.
test("a late message of a lost identity does not stop the bootstrap", () => {
  const s = emptyFolders(3);
  s.faultRates = { ...NO_FAULTS, delay: 400 };
  const lost = s.host("c");
  const from = s.memberKeyOf(lost);
  s.loseDisk(lost);
  s.start(lost);
  const isBound = () => lost.core?.status(s.now).phase === "founding";
  assert.ok(s.runUntil(isBound, 5_000));
  const convener = s.host("a").core;
  const message = { kind: "agreement.inquiry", payload: { from } } as const;
  convener?.receive("c", message, s.now);
  assert.ok(s.runUntil(() => s.leader(), 8_000));
});

// Failure: a disk lost during the bootstrap leads to two clusters, or to none.
// Only if the convener (a) loses its disk, there may be none.
test("a disk lost at any moment of the bootstrap leaves at most one cluster", () => {
  for (let seed = 1; seed <= 300; seed++) {
    const s = emptyFolders(3, seed);
    s.faultRates = { loss: 0.2, duplication: 0.2, delay: 400, syncDelay: 100 };
    const victim = s.hosts[seed % 3];
    assert.ok(victim);
    s.run(s.random.below(3_000));
    s.loseDisk(victim);
    s.at(s.random.below(1_000), () => s.start(victim));
    s.run(4_000);
    s.faultRates = NO_FAULTS;
    s.run(8_000);
    assert.ok(
      formedClusters(s).length <= 1,
      `seed ${seed}: ${formedClusters(s)}`,
    );
    const hasLeader = s.leader() !== undefined;
    assert.ok(
      victim.id === "a" || hasLeader,
      `seed ${seed}: ${s.describeHosts()}`,
    );
  }
});
