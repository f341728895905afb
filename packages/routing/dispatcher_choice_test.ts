import assert from "node:assert/strict";
import { test } from "node:test";
import type { Entry, View } from "#model";
import { DispatcherChoice } from "./dispatcher_choice.ts";

const SERVICES = Array.from({ length: 20 }, (_, n) => `service-${n}`);

/** A view of small hosts, of which the first ones are large. */
function viewOf(options: {
  entries: number;
  large: number;
  share?: number;
}): View {
  const { entries, large, share = 0.675 } = options;
  return {
    epoch: 1,
    began: 0,
    entries: Array.from(
      { length: entries },
      (_, n): Entry => ({
        id: `e${n}`,
        incarnation: 1,
        dataCentre: "a",
        http: { host: "h", port: 1 },
        peer: { host: "h", port: 2 },
        processorShare: n < large ? share : 0.27,
        state: "ready",
      }),
    ),
  };
}

function dispatchers(view: View): Set<number> {
  const choice = new DispatcherChoice(view);
  return new Set(
    SERVICES.map((name) => Number(choice.dispatcherOf(name)?.id.slice(1))),
  );
}

// Guards against a dispatcher of hundreds of calls a second on a host that has no
// processor time for them while larger hosts have.
test("a large site has its dispatchers on hosts with much processor time", () => {
  const chosen = dispatchers(viewOf({ entries: 100, large: 6 }));
  assert.ok([...chosen].every((n) => n < 6));
  assert.ok(chosen.size > 2);
});

test("a small site, or one of like hosts, spreads its dispatchers over all", () => {
  for (const view of [
    viewOf({ entries: 18, large: 4 }),
    viewOf({ entries: 100, large: 6, share: 0.4 }),
  ]) {
    assert.ok([...dispatchers(view)].some((n) => n >= 6));
  }
});

// Guards against two dispatchers of a service beside entries of an older build.
test("a share that is not known leaves the choice as it was", () => {
  const view = viewOf({ entries: 100, large: 6 });
  const [first, ...others] = view.entries;
  assert.ok(first);
  const { processorShare: _, ...older } = first;
  const mixed = dispatchers({ ...view, entries: [older, ...others] });
  assert.ok([...mixed].some((n) => n >= 6));
});
