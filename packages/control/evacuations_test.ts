import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok, type Result } from "neverthrow";
import type { ReadFault, SubmitFault } from "#agreement";
import { ManualClock, SystemClock } from "#model";
import {
  evacuationChange,
  evacuationKey,
  type PutItems,
  Registry,
  type RegistryCommand,
  type RegistryReply,
} from "#registry";
import { SilentLogger } from "#telemetry";
import type { ControlProcess } from "./control_process.ts";
import { ControlRequests } from "./control_requests.ts";
import { Evacuations } from "./evacuations.ts";
import { ORDER_LIFETIME_MS } from "./order_lifetime.ts";

/** A control host that applies commands at once. */
class LocalControl {
  readonly registry = new Registry();
  submitted = 0;
  canRead = true;
  /** Runs before this host's next command, as the command of another host. */
  before: (() => void)[] = [];

  confirmRead(): Promise<Result<number, ReadFault>> {
    return Promise.resolve(this.canRead ? ok(1) : err({ type: "no_quorum" }));
  }

  submit(
    command: RegistryCommand,
  ): Promise<Result<RegistryReply, SubmitFault>> {
    this.submitted += 1;
    this.before.shift()?.();
    return Promise.resolve(ok(this.registry.apply(command)));
  }
}

function createHost() {
  const control = new LocalControl();
  const clock = new SystemClock();
  const options = {
    control: control as unknown as ControlProcess,
    clock,
    logger: new SilentLogger(),
  };
  const evacuations = new Evacuations(options);
  const order = async (isEvacuated: boolean, ageMs = 0) =>
    (
      await evacuations.carryOut(
        { dataCentre: "riga-a", isEvacuated },
        clock.now() - ageMs,
      )
    ).type;
  return {
    control,
    order,
    evacuations,
    requests: new ControlRequests(options),
  };
}

function commandFor(registry: Registry, isEvacuated: boolean): PutItems {
  const stored = registry.storedItem(evacuationKey("riga-a"));
  const order = { dataCentre: "riga-a", isEvacuated };
  const change = evacuationChange(order, stored);
  assert.ok(change);
  return { type: "put_items", ...change, at: 1 };
}

test("a resent order is acknowledged again, and logged once each time", async () => {
  const { control, order, evacuations } = createHost();
  assert.equal(await order(true), "in_force");
  assert.equal(await order(true), "in_force");
  assert.equal(control.submitted, 2);
  assert.ok(evacuations.isEvacuated("riga-a"));
  assert.equal(await order(false), "in_force");
  assert.equal(await order(false), "in_force");
  assert.equal(control.submitted, 4);
  assert.ok(!evacuations.isEvacuated("riga-a"));
});

// Failure: a host that was frozen reads an order whose sender has turned to another
// host and given the opposite order since, and undoes that one.
test("an order that may have been given up is not carried out", async () => {
  const { control, order, evacuations } = createHost();
  assert.equal(await order(true), "in_force");
  assert.equal(await order(false, ORDER_LIFETIME_MS), "unavailable");
  assert.equal(control.submitted, 1);
  assert.ok(evacuations.isEvacuated("riga-a"));
  assert.equal(await order(false, ORDER_LIFETIME_MS / 2), "in_force");
});

// Failure: the same, if the host is frozen while it waits for its read.
test("an order that grows old while it is read is not carried out", async () => {
  const { control, evacuations } = createHost();
  const clock = new ManualClock();
  const host = new Evacuations({
    control: control as unknown as ControlProcess,
    clock,
    logger: new SilentLogger(),
  });
  const sentAt = clock.now();
  const confirm = control.confirmRead.bind(control);
  control.confirmRead = () => {
    clock.advance(4_000);
    return confirm();
  };
  const order = { dataCentre: "riga-a", isEvacuated: true };
  assert.equal((await host.carryOut(order, sentAt)).type, "unavailable");
  assert.equal(control.submitted, 0);
  assert.ok(!evacuations.isEvacuated("riga-a"));
});

// Failure: a host that is cut off from the others acknowledges by what it knew.
test("an order is not acknowledged without a confirmed read", async () => {
  const { control, order } = createHost();
  assert.equal(await order(true), "in_force");
  control.canRead = false;
  assert.equal(await order(true), "unavailable");
  assert.equal(await order(false), "unavailable");
  assert.equal(control.submitted, 1);
});

// Failure: the command has the version of another host's, and is dropped although
// the order is acknowledged.
test("an order that another host overtook is carried out again", async () => {
  const { control, order } = createHost();
  control.before = [
    () => {
      control.registry.apply(commandFor(control.registry, true));
      control.registry.apply(commandFor(control.registry, false));
    },
  ];
  assert.equal(await order(true), "in_force");
  assert.equal(control.submitted, 2);
  const { document } = control.registry.configuration();
  assert.deepEqual(document.evacuated, ["riga-a"]);
});

test("an order that others undo again and again is not acknowledged", async () => {
  const { control, order } = createHost();
  const undo = () => {
    control.registry.apply(commandFor(control.registry, true));
    control.registry.apply(commandFor(control.registry, false));
  };
  control.before = Array.from({ length: 9 }, () => undo);
  assert.equal(await order(true), "unavailable");
});

test("orders are not among the items that operators read", async () => {
  const { order, requests } = createHost();
  await order(true);
  assert.deepEqual(await requests.items(), { type: "items", items: [] });
});
