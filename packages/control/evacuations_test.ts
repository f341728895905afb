import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok, type Result } from "neverthrow";
import type { ReadFault, SubmitFault } from "#agreement";
import { SystemClock } from "#model";
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
  const options = {
    control: control as unknown as ControlProcess,
    clock: new SystemClock(),
    logger: new SilentLogger(),
  };
  const evacuations = new Evacuations(options);
  const order = async (isEvacuated: boolean) =>
    (await evacuations.carryOut({ dataCentre: "riga-a", isEvacuated })).type;
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

test("an order is carried out once, however often it is sent", async () => {
  const { control, order, evacuations } = createHost();
  assert.equal(await order(true), "in_force");
  assert.equal(await order(true), "in_force");
  assert.equal(control.submitted, 1);
  assert.ok(evacuations.isEvacuated("riga-a"));
  assert.equal(await order(false), "in_force");
  assert.equal(await order(false), "in_force");
  assert.equal(control.submitted, 2);
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
