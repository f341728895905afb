import assert from "node:assert/strict";
import { test } from "node:test";
import { UNSETTLED } from "#model";
import { viewsWithVotes } from "./former_views.ts";

const STARTED_AT = 1_000_000;

function viewEnded(ended: number) {
  return { epoch: 1, began: 0, entries: [], ended };
}

// Guards against keys that are refused for longer after a return than is needed, as
// hosts of long ago would have to answer.
test("a view that ended long before the start has no votes that count", () => {
  assert.deepEqual(
    viewsWithVotes([viewEnded(STARTED_AT - 60_000)], STARTED_AT),
    [],
  );
});

// Guards against a vote that counts twice.
test("votes by views that have not ended, or only just, may count", () => {
  const views = [UNSETTLED, STARTED_AT - 5_000, STARTED_AT + 1].map(viewEnded);
  assert.deepEqual(viewsWithVotes(views, STARTED_AT), views);
});
