import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok } from "neverthrow";
import type { StopFault } from "#agreement";
import { SilentLogger } from "#telemetry";
import { type ControlRun, runControl } from "./control_runs.ts";

const FULL: StopFault = {
  type: "write_failed",
  operation: "write",
  code: "ENOSPC",
  detail: "no space left",
};
const DAMAGED: StopFault = {
  type: "corrupt",
  file: "identity",
  offset: 0,
  detail: "damaged",
};
const logger = new SilentLogger();

function run(stopped: Promise<StopFault | undefined>): ControlRun {
  return { stopped, close: async () => undefined };
}

// A full disk ended the process, again and again until it had room.
test("a full disk is tried again until control runs", async () => {
  let opened = 0;
  let tell: () => void = () => undefined;
  const told = new Promise<void>((resolve) => {
    tell = resolve;
  });
  const end = await runControl({
    open: async () => {
      opened += 1;
      if (opened === 1) return ok(run(Promise.resolve(FULL)));
      if (opened === 2) return err(FULL);
      tell();
      return ok(run(new Promise(() => undefined)));
    },
    told,
    logger,
  });
  assert.equal(opened, 3);
  assert.equal(end.type, "told");
});

test("a damaged folder ends control", async () => {
  const end = await runControl({
    open: async () => err(DAMAGED),
    told: new Promise(() => undefined),
    logger,
  });
  assert.deepEqual(end, { type: "failed", fault: DAMAGED });
});
