import assert from "node:assert/strict";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { isDeepStrictEqual } from "node:util";
import type { StorageWrite, StoredState } from "#agreement";
import { SeededRandomness } from "#model";
import { FileStorage } from "./file_storage.ts";
import { NodeFileSystem } from "./file_system.ts";
import type { Migration } from "./identity.ts";
import { StoredLog } from "./stored_log.ts";
import {
  type FailureRule,
  MemoryFileSystem,
  UnsyncedFileSystem,
} from "./test_file_system.ts";

const SEGMENT = "f/log-0000000001.bin";
const MEMBERSHIP = { voters: ["a/1"], learners: [] };

function entries(from: number, count = 1, term = 1): StorageWrite {
  const command = Buffer.from("command");
  return {
    type: "entries",
    entries: Array.from({ length: count }, (_, at) => {
      return { index: from + at, term, id: `r${from + at}`, command };
    }),
  };
}

function snapshot(index: number): StorageWrite {
  const bytes = Buffer.from(`state at ${index}`);
  const content = { index, term: 1, membership: MEMBERSHIP, bytes };
  return { type: "snapshot", snapshot: content, keepLog: true };
}

function open(fileSystem: MemoryFileSystem, migrations?: Migration[]) {
  const folder = "f";
  return new FileStorage({ folder, fileSystem, segmentBytes: 600, migrations });
}

async function load(fileSystem: MemoryFileSystem): Promise<StoredState> {
  return (await open(fileSystem).load())._unsafeUnwrap();
}

function failing(operation: string, code: string): FailureRule {
  return (attempted) => (attempted === operation ? code : undefined);
}

/** A folder with a vote, some batches of entries and maybe a snapshot. */
async function filled(options: { entries: number; snapshotAt?: number }) {
  const fileSystem = new MemoryFileSystem();
  const storage = open(fileSystem);
  await storage.load();
  await storage.write([{ type: "vote", term: 1, vote: "a/1" }]);
  const { snapshotAt } = options;
  for (let index = 1; index <= options.entries; index++) {
    const writes = [entries(index)];
    if (index === snapshotAt) writes.push(snapshot(index));
    assert.ok((await storage.write(writes)).isOk());
  }
  await storage.close();
  return fileSystem;
}

const indices = (state: StoredState) => state.entries.map(({ index }) => index);

test("an empty folder gets an identity and keeps it", async () => {
  const fileSystem = new MemoryFileSystem();
  const { identity } = await load(fileSystem);
  assert.match(identity, /^[0-9a-f]{16}$/);
  assert.equal((await load(fileSystem)).identity, identity);
  assert.notEqual((await load(new MemoryFileSystem())).identity, identity);
});

// Guards against a half-made folder that cannot be opened again.
test("setting up a folder may be cut off at any file operation", async () => {
  for (let limit = 1; limit <= 40; limit++) {
    const fileSystem = new MemoryFileSystem();
    let left = limit;
    fileSystem.fails = () => (left-- <= 0 ? "EIO" : undefined);
    const loaded = await open(fileSystem).load();
    fileSystem.fails = () => undefined;
    const again = await open(fileSystem).load();
    assert.ok(again.isOk(), `operation ${limit}`);
    if (loaded.isOk()) assert.deepEqual(again.value, loaded.value);
  }
});

// Guards against a member that cannot restart after a crash during a write.
test("a tail torn at any byte of the last record is cut off", async () => {
  const fileSystem = await filled({ entries: 3 });
  const whole = await fileSystem.read(SEGMENT);
  const storage = open(fileSystem);
  await storage.load();
  const start = (await fileSystem.read(SEGMENT)).length;
  assert.ok(start > whole.length, "load seals the log again");
  await storage.write([entries(4)]);
  const written = await fileSystem.read(SEGMENT);
  const end = written.lastIndexOf("mbseal") - 9;
  for (let length = start; length <= end; length++) {
    const torn = fileSystem.copy();
    torn.change(SEGMENT, (data) => data.subarray(0, length));
    const expected = length === end ? [1, 2, 3, 4] : [1, 2, 3];
    assert.deepEqual(indices(await load(torn)), expected, `at ${length}`);
    assert.deepEqual(indices(await load(torn)), expected, `again at ${length}`);
  }
  for (let at = start; at < end; at++) {
    const torn = fileSystem.copy();
    torn.change(SEGMENT, (data) => flipped(data, at).subarray(0, end));
    assert.deepEqual(indices(await load(torn)), [1, 2, 3], `flipped at ${at}`);
  }
});

// Guards against silently losing entries that were acknowledged.
test("damage before the last seal is refused at every byte", async () => {
  const fileSystem = await filled({ entries: 3 });
  const written = await fileSystem.read(SEGMENT);
  const lastSeal = written.lastIndexOf("mbseal") - 9;
  for (let at = 0; at < written.length; at++) {
    const damaged = fileSystem.copy();
    damaged.change(SEGMENT, (data) => flipped(data, at));
    const loaded = await open(damaged).load();
    if (at >= lastSeal) {
      assert.deepEqual(indices(loaded._unsafeUnwrap()), [1, 2, 3]);
      continue;
    }
    const fault = loaded._unsafeUnwrapErr();
    assert.equal(fault.type, "corrupt", `flipped at ${at}`);
  }
});

function flipped(data: Buffer, at: number): Buffer {
  data[at] = (data[at] ?? 0) ^ 0x10;
  return data;
}

// Guards against a member that starts without a part of its state.
for (const [name, damage] of Object.entries({
  "a missing identity": (f: MemoryFileSystem) => f.remove("f/identity"),
  "a missing first segment": (f: MemoryFileSystem) => f.remove(SEGMENT),
  "a missing middle segment": (f: MemoryFileSystem) =>
    f.remove("f/log-0000000002.bin"),
  "a missing last segment": async (f: MemoryFileSystem) =>
    f.remove(`f/${(await f.list("f")).filter(isSegment).sort().at(-1)}`),
  "a damaged identity": async (f: MemoryFileSystem) =>
    f.change("f/identity", (data) => flipped(data, 20)),
})) {
  test(`${name} is refused`, async () => {
    const fileSystem = await filled({ entries: 40 });
    await damage(fileSystem);
    const fault = (await open(fileSystem).load())._unsafeUnwrapErr();
    assert.equal(fault.type, "corrupt");
  });
}

const isSegment = (name: string) => name.startsWith("log-");

test("a missing or damaged snapshot is refused", async () => {
  const fileSystem = await filled({ entries: 10, snapshotAt: 8 });
  const path = "f/snapshot-0000000000000008.bin";
  const { length } = await fileSystem.read(path);
  for (let at = 0; at < length; at++) {
    const damaged = fileSystem.copy();
    damaged.change(path, (data) => flipped(data, at));
    const fault = (await open(damaged).load())._unsafeUnwrapErr();
    assert.equal(fault.type, "corrupt", `flipped at ${at}`);
  }
  await fileSystem.remove(path);
  const fault = (await open(fileSystem).load())._unsafeUnwrapErr();
  assert.equal(fault.type, "corrupt");
});

test("a snapshot replaces old segments and snapshots", async () => {
  const fileSystem = await filled({ entries: 60, snapshotAt: 50 });
  const state = await load(fileSystem);
  assert.equal(state.snapshot?.index, 50);
  assert.equal(Buffer.from(state.snapshot.bytes).toString(), "state at 50");
  assert.deepEqual(indices(state), [51, 52, 53, 54, 55, 56, 57, 58, 59, 60]);
  assert.deepEqual([state.term, state.vote], [1, "a/1"]);
  const names = await fileSystem.list("f");
  assert.ok(!names.includes("log-0000000001.bin"), "segment 1 is removed");
});

test("an installed snapshot drops entries that contradict it", async () => {
  const fileSystem = await filled({ entries: 5 });
  const storage = open(fileSystem);
  await storage.load();
  const install = { ...snapshot(4), keepLog: false } as StorageWrite;
  await storage.write([install, entries(5, 1, 2)]);
  const { entries: kept, snapshot: stored } = await load(fileSystem);
  assert.deepEqual(
    kept.map(({ index, term }) => [index, term]),
    [[5, 2]],
  );
  assert.equal(stored?.index, 4);
});

// Guards against acknowledging what a full or failing disk did not take.
for (const [name, fails, writes] of [
  ["full disk", failing("write", "ENOSPC"), [entries(4)]],
  ["failed sync", failing("sync", "EIO"), [entries(4)]],
  ["failed snapshot", failing("rename", "EIO"), [entries(4), snapshot(3)]],
] as const) {
  test(`a ${name} ends all writes and loses nothing synced`, async () => {
    const fileSystem = await filled({ entries: 3 });
    const storage = open(fileSystem);
    await storage.load();
    fileSystem.fails = fails;
    const failed = await storage.write(writes);
    const fault = failed._unsafeUnwrapErr();
    assert.equal(fault.type, "write_failed");
    fileSystem.fails = () => undefined;
    assert.ok((await storage.write([entries(5)])).isErr());
    assert.deepEqual(indices(await load(fileSystem)), [1, 2, 3]);
  });
}

test("migrations run in order, once, and again after a crash", async () => {
  const fileSystem = await filled({ entries: 1 });
  const ran: number[] = [];
  let isCutOff = true;
  const migrations: Migration[] = [2, 3].map((to) => ({
    to,
    run: async () => {
      ran.push(to);
      if (to === 3 && isCutOff) throw new Error("cut off");
    },
  }));
  assert.ok((await open(fileSystem, migrations).load()).isErr());
  isCutOff = false;
  assert.ok((await open(fileSystem, migrations).load()).isOk());
  assert.ok((await open(fileSystem, migrations).load()).isOk());
  assert.deepEqual(ran, [2, 3, 3]);
  const fault = (await open(fileSystem).load())._unsafeUnwrapErr();
  assert.equal(fault.type, "unsupported_format");
});

/** Some writes at random that follow on from a state. */
function randomWrites(
  log: StoredLog,
  random: SeededRandomness,
): StorageWrite[] {
  const { lastIndex } = log;
  const least = (log.snapshot?.index ?? 0) + 1;
  const isConflict = random.below(5) === 0;
  const from = isConflict ? Math.max(least, lastIndex - 2) : lastIndex + 1;
  const term = random.below(1_000);
  const writes: StorageWrite[] = [entries(from, 1 + random.below(3), term)];
  const roll = random.below(10);
  if (roll === 0 && lastIndex >= least) writes.push(snapshot(from));
  if (roll === 1) writes.push({ type: "vote", term, vote: "b/1" });
  return writes;
}

/** Every state that the folder may have after a crash during some writes. */
function possibleStates(log: StoredLog, writes: readonly StorageWrite[]) {
  const copy = log.copy();
  const states = [copy.state()];
  for (const write of writes) {
    copy.apply(write);
    states.push(copy.state());
  }
  return states;
}

/** Writes until the file system fails, then loads what a crash leaves. */
async function crashOften(seed: number): Promise<void> {
  const random = new SeededRandomness(seed);
  const fileSystem = new MemoryFileSystem();
  let log: StoredLog | undefined;
  for (let life = 0; life < 4; life++) {
    let left = 5 + random.below(120);
    fileSystem.fails = () => (left-- <= 0 ? "EIO" : undefined);
    const storage = open(fileSystem);
    const loaded = await storage.load();
    let failed: StorageWrite[] = [];
    if (loaded.isOk()) {
      log ??= new StoredLog(loaded.value.identity);
      assert.deepEqual(loaded.value, log.state(), `life ${life}`);
      for (;;) {
        failed = randomWrites(log, random);
        if ((await storage.write(failed)).isErr()) break;
        for (const write of failed) log.apply(write);
      }
    } else assert.equal(loaded.error.type, "write_failed");
    await storage.close();
    fileSystem.crash(random);
    const after = await load(fileSystem);
    if (!log) continue;
    const found = possibleStates(log, failed).findIndex((state) =>
      isDeepStrictEqual(state, after),
    );
    assert.ok(found >= 0, `life ${life}: acknowledged writes are lost`);
    for (const write of failed.slice(0, found)) log.apply(write);
  }
}

// Guards against any order of file operations that a crash makes unsafe.
test("a crash at any file operation keeps what was acknowledged", async () => {
  for (let seed = 1; seed <= 400; seed++) {
    await crashOften(seed).catch((cause) => {
      throw new Error(`seed ${seed}`, { cause });
    });
  }
});

// Guards against a recovery that takes longer than an election.
test("recovery of 10,000 changes reads each byte once", async () => {
  const folder = await mkdtemp(join(tmpdir(), "mangobank-"));
  const fileSystem = new UnsyncedFileSystem();
  const storage = new FileStorage({ folder, fileSystem });
  await storage.load();
  for (let index = 1; index <= 10_000; index++) {
    await storage.write([entries(index)]);
  }
  await storage.close();
  const read = new Map<string, number>();
  const counting = new (class extends NodeFileSystem {
    override async read(path: string): Promise<Buffer> {
      read.set(path, (read.get(path) ?? 0) + 1);
      return super.read(path);
    }
  })();
  const reopened = new FileStorage({ folder, fileSystem: counting });
  const state = (await reopened.load())._unsafeUnwrap();
  assert.equal(state.entries.length, 10_000);
  assert.deepEqual(
    [...read].filter(([, times]) => times > 1),
    [],
  );

  await rm(folder, { recursive: true });
});
