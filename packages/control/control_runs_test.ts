import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok } from "neverthrow";
import type { StopFault } from "#agreement";
import { SilentLogger } from "#telemetry";
import { type ControlRun, runControl } from "./control_runs.ts";

const DISK_FULL: StopFault = {
  type: "write_failed",
  operation: "write",
  code: "ENOSPC",
  detail: "no space left",
};
const DAMAGED_FOLDER: StopFault = {
  type: "corrupt",
  file: "identity",
  offset: 0,
  detail: "damaged",
};
const logger = new SilentLogger();

function controlRun(stopped: Promise<StopFault | undefined>): ControlRun {
  return { stopped, close: async () => undefined };
}

// Failure: a full disk ends the process, which is restarted and fails again
// until there is room.
test("control is reopened until the disk has room again", async () => {
  let opened = 0;
  let requestStop: () => void = () => undefined;
  const stopRequested = new Promise<void>((resolve) => {
    requestStop = resolve;
  });
  const end = await runControl({
    open: async () => {
      opened += 1;
      if (opened === 1) return ok(controlRun(Promise.resolve(DISK_FULL)));
      if (opened === 2) return err(DISK_FULL);
      requestStop();
      return ok(controlRun(new Promise(() => undefined)));
    },
    takesWrites: async () => true,
    stopRequested,
    logger,
  });
  assert.equal(opened, 3);
  assert.equal(end.type, "told");
});

test("control ends with the fault of a damaged data folder", async () => {
  const end = await runControl({
    open: async () => err(DAMAGED_FOLDER),
    takesWrites: async () => true,
    stopRequested: new Promise(() => undefined),
    logger,
  });
  assert.deepEqual(end, { type: "failed", fault: DAMAGED_FOLDER });
});

// Failure: a member whose disk takes votes but no entries is opened again and
// elected, each time in place of one that can write.
test("control stays closed until the disk takes writes", async () => {
  let opened = 0;
  let probes = 0;
  let requestStop: () => void = () => undefined;
  const stopRequested = new Promise<void>((resolve) => {
    requestStop = resolve;
  });
  const end = await runControl({
    open: async () => {
      opened += 1;
      if (opened === 1) return ok(controlRun(Promise.resolve(DISK_FULL)));
      requestStop();
      return ok(controlRun(new Promise(() => undefined)));
    },
    takesWrites: async () => {
      assert.equal(opened, 1);
      return ++probes === 4;
    },
    stopRequested,
    logger,
  });
  assert.deepEqual([opened, probes, end.type], [2, 4, "told"]);
});
