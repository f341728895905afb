import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextRound } from "node:timers/promises";
import { CoalescedChecks } from "./coalesced_checks.ts";

/** Counts checks, each of which ends when `end` is called with its index. */
class ControlledChecks {
  readonly #ends: (() => void)[] = [];

  readonly check = (): Promise<number> =>
    new Promise((resolve) => {
      const index = this.#ends.length;
      this.#ends.push(() => resolve(index));
    });

  get started(): number {
    return this.#ends.length;
  }

  async end(index: number): Promise<void> {
    this.#ends[index]?.();
    await nextRound();
  }
}

// Guards against results from before the failure that is looked into.
test("a question during a check is answered by the next one", async () => {
  const controlled = new ControlledChecks();
  const checks = new CoalescedChecks<number>();
  const first = checks.run("a", controlled.check);
  const later = [1, 2, 3].map(() => checks.run("a", controlled.check));
  assert.equal(controlled.started, 1);
  await controlled.end(0);
  assert.equal(await first, 0);
  assert.equal(controlled.started, 2);
  const last = checks.run("a", controlled.check);
  await controlled.end(1);
  assert.deepEqual(await Promise.all(later), [1, 1, 1]);
  await controlled.end(2);
  assert.equal(await last, 2);
});

test("different keys are checked at the same time", () => {
  const controlled = new ControlledChecks();
  const checks = new CoalescedChecks<number>();
  void checks.run("a", controlled.check);
  void checks.run("b", controlled.check);
  assert.equal(controlled.started, 2);
});

// Guards against a key that is never checked again.
test("a check that fails does not keep the next one from running", async () => {
  const checks = new CoalescedChecks<number>();
  const failing = checks.run("a", () => Promise.reject(new Error("failed")));
  const next = checks.run("a", () => Promise.resolve(1));
  await assert.rejects(failing, /failed/);
  assert.equal(await next, 1);
  await nextRound();
  assert.equal(await checks.run("a", () => Promise.resolve(2)), 2);
});
