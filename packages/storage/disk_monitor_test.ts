import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "#model";
import { DiskMonitor } from "./disk_monitor.ts";
import { FileStorage } from "./file_storage.ts";
import { MonitoredFileSystem } from "./monitored_file_system.ts";
import { MemoryFileSystem } from "./test_file_system.ts";

type Line = [level: string, message: string, details: unknown];

function startMonitor() {
  const clock = new ManualClock();
  const lines: Line[] = [];
  const write = (level: string) => (message: string, details?: unknown) => {
    lines.push([level, message, details]);
  };
  const logger = {
    info: write("info"),
    warn: write("warn"),
    error: write("error"),
  };
  const monitor = new DiskMonitor({ clock, logger });
  const disk = new MemoryFileSystem();
  const fileSystem = new MonitoredFileSystem(disk, monitor);
  const open = () => new FileStorage({ folder: "f", fileSystem });
  return { clock, lines, monitor, disk, open };
}

const VOTE = { type: "vote", term: 1, vote: "a/1" } as const;

// Guards against a full disk that nobody can tell from the logs and the metrics.
test("a full disk is told once, and again when it has room", async () => {
  const { clock, lines, monitor, disk, open } = startMonitor();
  const storage = open();
  await storage.load();
  assert.ok(monitor.isWritable);
  assert.equal(lines.length, 0);
  disk.failureRule = (operation) =>
    operation === "write" ? "ENOSPC" : undefined;
  assert.ok((await storage.write([VOTE])).isErr());
  assert.ok(!monitor.isWritable);
  clock.advance(2_500);
  const reopened = open();
  assert.ok((await reopened.load()).isOk());
  assert.ok((await reopened.write([VOTE])).isErr());
  assert.deepEqual(
    lines.splice(0).map(([level, message]) => [level, message]),
    [["warn", "disk takes no writes"]],
  );
  assert.ok((monitor.failedWrites.get("ENOSPC") ?? 0) >= 2);
  disk.failureRule = () => undefined;
  const last = open();
  assert.ok((await last.load()).isOk());
  // A start reads and syncs, but writes nothing that must be kept.
  assert.ok(!monitor.isWritable);
  assert.ok((await last.write([VOTE])).isOk());
  assert.ok(monitor.isWritable);
  assert.deepEqual(lines, [
    ["info", "disk takes writes again", { forMs: 2_500 }],
  ]);
});

// Guards against a line that does not tell which files can't be written.
test("the line of a full disk names the file and its bytes", async () => {
  for (const [name, file] of [
    ["snapshot-", "snapshot"],
    ["log-", "log"],
  ] as const) {
    const { lines, disk, open } = startMonitor();
    const storage = open();
    await storage.load();
    // Without this the seal of the start is the first write that fails.
    await new Promise((resolve) => setImmediate(resolve));
    disk.failureRule = (operation, path) =>
      operation === "write" && path.includes(name) ? "EDQUOT" : undefined;
    const bytes = new Uint8Array(1_000);
    const membership = { voters: ["a/1"], learners: [] };
    const snapshot = { index: 1, term: 1, membership, bytes };
    const write = { type: "snapshot", snapshot, keepLog: true } as const;
    assert.ok((await storage.write([write])).isErr());
    const [line] = lines;
    const details = line?.[2] as { bytes: number };
    const { bytes: asked, ...rest } = details;
    assert.deepEqual(rest, { operation: "write", file, code: "EDQUOT" });
    assert.ok(asked > 0);
  }
});

// Guards against a host that can't set up its folder and does not say why.
test("a folder that cannot be created is told", async () => {
  const { lines, disk, open } = startMonitor();
  disk.failureRule = (operation) =>
    operation === "createFolder" ? "EROFS" : undefined;
  assert.ok((await open().load()).isErr());
  const details = { operation: "createFolder", file: "folder", code: "EROFS" };
  assert.deepEqual(lines, [
    ["warn", "disk takes no writes", { ...details, bytes: 0 }],
  ]);
});
