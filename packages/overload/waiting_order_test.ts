import assert from "node:assert/strict";
import { test } from "node:test";
import type { RankedCall } from "./call_order.ts";
import { WaitingOrder } from "./waiting_order.ts";

function call(id: string, rank?: number): RankedCall {
  return { id, priority: "patient", latestStart: 1_000, rank };
}

// Guards against calls that are neither started nor refused once ranks are used.
test("all calls that wait are kept when ranks select another order", () => {
  const order = new WaitingOrder<RankedCall>(10);
  for (let n = 0; n < 10; n++) order.queue.offer(call(`c${n}`));
  order.setLimit(3);
  order.select(call("ranked", 0));
  assert.equal(order.queue.length, 10);
});

test("a call that was taken out may return to a full queue", () => {
  for (const rank of [undefined, 1]) {
    const order = new WaitingOrder<RankedCall>(2);
    order.select(call("first", rank));
    order.queue.offer(call("a", rank));
    order.queue.offer(call("b", rank));
    const taken = order.queue.take();
    order.setLimit(1);
    assert.ok(taken);
    order.queue.putBack(taken);
    assert.equal(order.queue.length, 2);
  }
});
