import assert from "node:assert/strict";
import { test } from "node:test";
import { isDeepStrictEqual } from "node:util";
import type { StorageWrite, StoredState } from "#agreement";
import { SeededRandomness } from "#model";
import { FileStorage } from "./file_storage.ts";
import { StoredLog } from "./stored_log.ts";
import { MemoryFileSystem } from "./test_file_system.ts";

// MANGOBANK_SCHEDULES sets the number of random histories of a full disk,
// MANGOBANK_FIRST_SEED the first seed.
const SCHEDULES = Number(process.env.MANGOBANK_SCHEDULES ?? 400);
const FIRST_SEED = Number(process.env.MANGOBANK_FIRST_SEED ?? 1);

const FOLDER = "f";
const MEMBERSHIP = { voters: ["a/1"], learners: [] };
const OPERATIONS = [
  "createFolder",
  "list",
  "read",
  "openForAppend",
  "truncate",
  "rename",
  "remove",
  "syncFolder",
  "write",
  "sync",
] as const;
const CODES = ["ENOSPC", "EIO", "EDQUOT", "EROFS", "EMFILE"] as const;

function open(fileSystem: MemoryFileSystem): FileStorage {
  return new FileStorage({ folder: FOLDER, fileSystem, segmentBytes: 600 });
}

/** Returns random writes that can be applied to a state. */
function randomWrites(
  log: StoredLog,
  random: SeededRandomness,
): StorageWrite[] {
  const from = log.lastIndex + 1;
  const term = random.below(1_000);
  const command = Buffer.alloc(random.below(random.below(8) ? 30 : 400), "c");
  const entry = { index: from, term, id: `r${from}`, command };
  const writes: StorageWrite[] = [{ type: "entries", entries: [entry] }];
  const roll = random.below(8);
  if (roll < 2) writes.unshift({ type: "vote", term, vote: "b/1" });
  if (roll === 3) {
    const bytes = Buffer.alloc(random.below(500), "s");
    const snapshot = { index: from, term, membership: MEMBERSHIP, bytes };
    writes.push({ type: "snapshot", snapshot, keepLog: true });
  }
  return writes;
}

/** Returns each state that some writes may leave if they fail. */
function possibleStates(log: StoredLog, writes: readonly StorageWrite[]) {
  const copy = log.copy();
  return [
    copy.state(),
    ...writes.map((write) => {
      copy.apply(write);
      return copy.state();
    }),
  ];
}

/** Limits the room, and makes some operations fail with any code. */
function fill(disk: MemoryFileSystem, random: SeededRandomness): void {
  disk.capacity = disk.usedBytes + random.below(random.below(2) ? 60 : 800);
  const failing = OPERATIONS.filter(() => random.below(12) === 0);
  const code = CODES[random.below(CODES.length)];
  const share = random.next();
  disk.failureRule = (operation) =>
    failing.some((o) => o === operation) && random.next() < share
      ? code
      : undefined;
}

function empty(disk: MemoryFileSystem): void {
  disk.capacity = Number.POSITIVE_INFINITY;
  disk.failureRule = () => undefined;
}

/**
 * Fills a disk, opens the folder again some times while it is full, as
 * `runControl` does, sometimes after a crash, and then gives it room.
 */
async function fillRepeatedly(seed: number): Promise<void> {
  const random = new SeededRandomness(seed);
  const disk = new MemoryFileSystem();
  disk.losesFailedSyncs = random.below(2) === 0;
  let log: StoredLog | undefined;
  let possible: StoredState[] = [];
  const reopen = async () => {
    const storage = open(disk);
    const loaded = await storage.load();
    if (loaded.isErr()) {
      const { error } = loaded;
      assert.equal(error.type, "write_failed", JSON.stringify(error));
      return undefined;
    }
    const state = loaded.value;
    if (!log) {
      log = new StoredLog(state.identity);
      possible = [log.state()];
    }
    const found = possible.some((other) => isDeepStrictEqual(other, state));
    assert.ok(found, "what was synced is lost");
    log = restored(state);
    possible = [state];
    return storage;
  };
  const writeSome = async (storage: FileStorage, count: number) => {
    for (let n = 0; n < count && log; n++) {
      const writes = randomWrites(log, random);
      if ((await storage.write(writes)).isErr()) {
        possible = possibleStates(log, writes);
        break;
      }
      for (const write of writes) log.apply(write);
      possible = [log.state()];
    }
    await storage.close();
  };
  // The first start may already find a full disk.
  if (random.below(4) === 0) fill(disk, random);
  for (let round = 0; round < 8; round++) {
    for (let opening = random.below(4); opening > 0; opening--) {
      const storage = await reopen();
      if (storage) await writeSome(storage, random.below(12));
      if (random.below(6) === 0) crash(disk, random);
      // Room may come or go between any two openings.
      if (random.below(2) === 0) fill(disk, random);
    }
    empty(disk);
    const storage = await reopen();
    assert.ok(storage && log, "the folder cannot be opened again");
    const index = log.lastIndex + 1;
    const entries = [{ index, term: 1, id: "last" }];
    const writes = [{ type: "entries", entries } as const];
    assert.ok((await storage.write(writes)).isOk(), "a disk with room");
    for (const write of writes) log.apply(write);
    possible = [log.state()];
    const names = await disk.list(FOLDER);
    const leftovers = names.filter((name) => name.endsWith(".tmp"));
    assert.deepEqual(leftovers, []);
    const snapshots = names.filter((name) => name.startsWith("snapshot-"));
    assert.ok(snapshots.length <= 1, `${snapshots}`);
    if (random.below(2) === 0) fill(disk, random);
    await writeSome(storage, 20);
  }
}

/** A crash keeps the limits of the disk. */
function crash(disk: MemoryFileSystem, random: SeededRandomness): void {
  const { failureRule } = disk;
  disk.crash(random);
  disk.failureRule = failureRule;
}

function restored(state: StoredState): StoredLog {
  const log = new StoredLog(state.identity);
  log.founding = state.founding;
  log.term = state.term;
  log.vote = state.vote;
  log.snapshot = state.snapshot;
  log.apply({ type: "entries", entries: state.entries });
  return log;
}

// Failure: a folder whose disk was full cannot be opened again, keeps files that
// take its room for good, or lacks entries and votes that were synced.
test("a folder outlives a disk that is full at any operation", async () => {
  const failed: number[] = [];
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
    try {
      await fillRepeatedly(seed);
    } catch (cause) {
      failed.push(seed);
      if (failed.length <= 2) console.error(seed, cause);
    }
  }
  assert.deepEqual(failed, [], "repeat with MANGOBANK_FIRST_SEED");
});
