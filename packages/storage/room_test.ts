import assert from "node:assert/strict";
import { test } from "node:test";
import { hasRoom } from "./room.ts";
import { MemoryFileSystem } from "./test_file_system.ts";

const NEEDED = { folder: "f", bytes: 1_000 };

// Failure: control is opened on a disk without room for its next write, or what
// was written to try that takes the last room for good.
test("a probe tells whether a disk has room, and leaves nothing", async () => {
  const disk = new MemoryFileSystem();
  for (const [capacity, expected] of [
    [0, false],
    [999, false],
    [1_000, true],
  ] as const) {
    disk.capacity = capacity;
    assert.equal(await hasRoom(disk, NEEDED), expected, `${capacity} bytes`);
    assert.deepEqual(await disk.list("f"), []);
  }
});

// Failure: control is opened on a disk that fails in another way than by being
// full.
test("a probe fails with any operation that fails", async () => {
  for (const failing of ["createFolder", "openForAppend", "write", "sync"]) {
    const disk = new MemoryFileSystem();
    disk.failureRule = (operation) =>
      operation === failing ? "EIO" : undefined;
    assert.equal(await hasRoom(disk, NEEDED), false, failing);
    disk.failureRule = () => undefined;
    assert.ok(await hasRoom(disk, NEEDED));
    assert.deepEqual(await disk.list("f"), []);
  }
});
