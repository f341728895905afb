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

const FIRST_SEGMENT = "f/log-0000000001.bin";
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

function failOn(operation: string, code: string): FailureRule {
  return (attempted) => (attempted === operation ? code : undefined);
}

/** Creates a folder with a vote, single entries and optionally a snapshot. */
async function fillFolder(options: { entries: number; snapshotAt?: number }) {
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

const entryIndices = (state: StoredState) =>
  state.entries.map(({ index }) => index);

// Failure: a member returns from a restart under another identity.
test("an empty folder gets an identity and keeps it", async () => {
  const fileSystem = new MemoryFileSystem();
  const { identity } = await load(fileSystem);
  assert.match(identity, /^[0-9a-f]{16}$/);
  assert.equal((await load(fileSystem)).identity, identity);
  assert.notEqual((await load(new MemoryFileSystem())).identity, identity);
});

// Failure: a folder whose setup was interrupted cannot be opened any more.
test("setting up a folder may fail at any file operation", async () => {
  for (let limit = 1; limit <= 40; limit++) {
    const fileSystem = new MemoryFileSystem();
    let left = limit;
    fileSystem.failureRule = () => (left-- <= 0 ? "EIO" : undefined);
    const loaded = await open(fileSystem).load();
    fileSystem.failureRule = () => undefined;
    const again = await open(fileSystem).load();
    assert.ok(again.isOk(), `operation ${limit}`);
    if (loaded.isOk()) assert.deepEqual(again.value, loaded.value);
  }
});

// Failure: a member cannot restart after a crash during a write.
test("a tail torn at any byte of the last record is truncated", async () => {
  const fileSystem = await fillFolder({ entries: 3 });
  const whole = await fileSystem.read(FIRST_SEGMENT);
  const storage = open(fileSystem);
  await storage.load();
  const start = (await fileSystem.read(FIRST_SEGMENT)).length;
  assert.ok(start > whole.length, "load writes another seal");
  await storage.write([entries(4)]);
  const written = await fileSystem.read(FIRST_SEGMENT);
  const end = written.lastIndexOf("mbseal") - 9;
  for (let length = start; length <= end; length++) {
    const torn = fileSystem.copy();
    torn.replaceContent(FIRST_SEGMENT, (data) => data.subarray(0, length));
    const expected = length === end ? [1, 2, 3, 4] : [1, 2, 3];
    assert.deepEqual(entryIndices(await load(torn)), expected, `at ${length}`);
    assert.deepEqual(
      entryIndices(await load(torn)),
      expected,
      `again at ${length}`,
    );
  }
  for (let at = start; at < end; at++) {
    const torn = fileSystem.copy();
    torn.replaceContent(FIRST_SEGMENT, (data) =>
      flipBit(data, at).subarray(0, end),
    );
    assert.deepEqual(
      entryIndices(await load(torn)),
      [1, 2, 3],
      `flipped at ${at}`,
    );
  }
});

// Failure: damage to acknowledged entries is taken for a torn tail, so that
// they are silently lost.
test("damage before the last seal is refused at every byte", async () => {
  const fileSystem = await fillFolder({ entries: 3 });
  const written = await fileSystem.read(FIRST_SEGMENT);
  const lastSeal = written.lastIndexOf("mbseal") - 9;
  for (let at = 0; at < written.length; at++) {
    const damaged = fileSystem.copy();
    damaged.replaceContent(FIRST_SEGMENT, (data) => flipBit(data, at));
    const loaded = await open(damaged).load();
    if (at >= lastSeal) {
      assert.deepEqual(entryIndices(loaded._unsafeUnwrap()), [1, 2, 3]);
      continue;
    }
    const fault = loaded._unsafeUnwrapErr();
    assert.equal(fault.type, "corrupt", `flipped at ${at}`);
  }
});

function flipBit(data: Buffer, at: number): Buffer {
  data[at] = (data[at] ?? 0) ^ 0x10;
  return data;
}

// Failure: a member starts although a part of its state is lost.
for (const [name, damage] of Object.entries({
  "a missing identity": (f: MemoryFileSystem) => f.remove("f/identity"),
  "a missing first segment": (f: MemoryFileSystem) => f.remove(FIRST_SEGMENT),
  "a missing middle segment": (f: MemoryFileSystem) =>
    f.remove("f/log-0000000002.bin"),
  "a missing last segment": async (f: MemoryFileSystem) =>
    f.remove(`f/${(await f.list("f")).filter(isSegment).sort().at(-1)}`),
  "a damaged identity": async (f: MemoryFileSystem) =>
    f.replaceContent("f/identity", (data) => flipBit(data, 20)),
})) {
  test(`${name} is refused`, async () => {
    const fileSystem = await fillFolder({ entries: 40 });
    await damage(fileSystem);
    const fault = (await open(fileSystem).load())._unsafeUnwrapErr();
    assert.equal(fault.type, "corrupt");
  });
}

const isSegment = (name: string) => name.startsWith("log-");

// Failure: a member starts from a damaged snapshot, or without its snapshot.
test("a missing or damaged snapshot is refused", async () => {
  const fileSystem = await fillFolder({ entries: 10, snapshotAt: 8 });
  const path = "f/snapshot-0000000000000008.bin";
  const { length } = await fileSystem.read(path);
  for (let at = 0; at < length; at++) {
    const damaged = fileSystem.copy();
    damaged.replaceContent(path, (data) => flipBit(data, at));
    const fault = (await open(damaged).load())._unsafeUnwrapErr();
    assert.equal(fault.type, "corrupt", `flipped at ${at}`);
  }
  await fileSystem.remove(path);
  const fault = (await open(fileSystem).load())._unsafeUnwrapErr();
  assert.equal(fault.type, "corrupt");
});

// Failure: the folder grows forever, or loses entries after the snapshot.
test("a snapshot replaces old segments and snapshots", async () => {
  const fileSystem = await fillFolder({ entries: 60, snapshotAt: 50 });
  const state = await load(fileSystem);
  assert.equal(state.snapshot?.index, 50);
  assert.equal(Buffer.from(state.snapshot.bytes).toString(), "state at 50");
  assert.deepEqual(
    entryIndices(state),
    [51, 52, 53, 54, 55, 56, 57, 58, 59, 60],
  );
  assert.deepEqual([state.term, state.vote], [1, "a/1"]);
  const names = await fileSystem.list("f");
  assert.ok(!names.includes("log-0000000001.bin"), "segment 1 is removed");
});

// Failure: entries that conflict with an installed snapshot survive it.
test("an installed snapshot removes entries that conflict with it", async () => {
  const fileSystem = await fillFolder({ entries: 5 });
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

// Failure: a write is acknowledged although the disk was full or failed.
for (const [name, fails, writes] of [
  ["full disk", failOn("write", "ENOSPC"), [entries(4)]],
  ["failed sync", failOn("sync", "EIO"), [entries(4)]],
  ["failed snapshot", failOn("rename", "EIO"), [entries(4), snapshot(3)]],
] as const) {
  test(`a ${name} stops all writes and loses nothing synced`, async () => {
    const fileSystem = await fillFolder({ entries: 3 });
    const storage = open(fileSystem);
    await storage.load();
    fileSystem.failureRule = fails;
    const failed = await storage.write(writes);
    const fault = failed._unsafeUnwrapErr();
    assert.equal(fault.type, "write_failed");
    fileSystem.failureRule = () => undefined;
    assert.ok((await storage.write([entries(5)])).isErr());
    assert.deepEqual(entryIndices(await load(fileSystem)), [1, 2, 3]);
  });
}

// Failure: recovery marks a segment as continued before the name of the next one
// is durable, so that after a power cut the next one counts as missing.
test("a new segment whose name is not durable may be lost", async () => {
  // A crash keeps or loses the name, at random.
  const random = new SeededRandomness(1);
  for (let attempt = 1; attempt <= 20; attempt++) {
    const fileSystem = new MemoryFileSystem();
    const storage = open(fileSystem);
    await storage.load();
    fileSystem.failureRule = failOn("syncFolder", "EIO");
    let written = 0;
    while ((await storage.write([entries(written + 1)])).isOk()) written++;
    await storage.close();
    assert.ok((await open(fileSystem).load()).isErr());
    fileSystem.crash(random);
    const state = await load(fileSystem);
    assert.equal(state.entries.length, written, `attempt ${attempt}`);
  }
});

// Failure: a seal that a failed sync has lost is kept, so that after a power cut
// the entries behind it count as damaged.
test("what a failed sync has lost is written again", async () => {
  const fileSystem = await fillFolder({ entries: 3 });
  fileSystem.losesFailedSyncs = true;
  const storage = open(fileSystem);
  await storage.load();
  assert.ok((await storage.write([entries(4)])).isOk());
  fileSystem.failureRule = failOn("sync", "EIO");
  assert.ok((await storage.write([entries(5)])).isErr());
  fileSystem.failureRule = () => undefined;
  await storage.close();
  const reopened = open(fileSystem);
  const state = (await reopened.load())._unsafeUnwrap();
  assert.deepEqual(entryIndices(state), [1, 2, 3, 4]);
  assert.ok((await reopened.write([entries(5)])).isOk());
  await reopened.close();
  fileSystem.crash(new SeededRandomness(1));
  assert.deepEqual(entryIndices(await load(fileSystem)), [1, 2, 3, 4, 5]);
});

// Failure: a migration runs twice, or not again after it was interrupted.
test("migrations run in order, once, and again after a crash", async () => {
  const fileSystem = await fillFolder({ entries: 1 });
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

/** Returns random writes that can be applied to a state. */
function randomWrites(
  log: StoredLog,
  random: SeededRandomness,
): StorageWrite[] {
  const { lastIndex } = log;
  const firstAllowed = (log.snapshot?.index ?? 0) + 1;
  const isConflict = random.below(5) === 0;
  const from = isConflict
    ? Math.max(firstAllowed, lastIndex - 2)
    : lastIndex + 1;
  const term = random.below(1_000);
  const writes: StorageWrite[] = [entries(from, 1 + random.below(3), term)];
  const roll = random.below(10);
  if (roll === 0 && lastIndex >= firstAllowed) writes.push(snapshot(from));
  if (roll === 1) writes.push({ type: "vote", term, vote: "b/1" });
  return writes;
}

/** Returns each state that a crash during some writes may leave. */
function possibleStates(log: StoredLog, writes: readonly StorageWrite[]) {
  const copy = log.copy();
  const states = [copy.state()];
  for (const write of writes) {
    copy.apply(write);
    states.push(copy.state());
  }
  return states;
}

/**
 * Writes until the file system fails and loads what a crash leaves, repeatedly.
 */
async function crashRepeatedly(seed: number): Promise<void> {
  const random = new SeededRandomness(seed);
  const fileSystem = new MemoryFileSystem();
  let log: StoredLog | undefined;
  for (let incarnation = 0; incarnation < 4; incarnation++) {
    let left = 5 + random.below(120);
    fileSystem.failureRule = () => (left-- <= 0 ? "EIO" : undefined);
    const storage = open(fileSystem);
    const loaded = await storage.load();
    let failed: StorageWrite[] = [];
    if (loaded.isOk()) {
      log ??= new StoredLog(loaded.value.identity);
      assert.deepEqual(loaded.value, log.state(), `incarnation ${incarnation}`);
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
    assert.ok(
      found >= 0,
      `incarnation ${incarnation}: acknowledged writes are lost`,
    );
    for (const write of failed.slice(0, found)) log.apply(write);
  }
}

// Failure: acknowledged writes are lost, because a crash comes between two file
// operations whose order is not safe.
test("a crash at any file operation keeps what was acknowledged", async () => {
  for (let seed = 1; seed <= 400; seed++) {
    await crashRepeatedly(seed).catch((cause) => {
      throw new Error(`seed ${seed}`, { cause });
    });
  }
});

// Failure: recovery reads segments repeatedly and takes longer than an
// election.
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
