import assert from "node:assert/strict";
import { test } from "node:test";
import { ControlLinks } from "./control_links.ts";

// Guards against an entry whose two control hosts are lost and that tries no
// other one.
test("an entry without confirmations is linked to all control hosts", () => {
  const links = new ControlLinks();
  assert.ok(links.needsAll, "at its start");
  for (let now = 0; now <= 30_000; now += 1_000) links.update(500, now);
  assert.equal(links.needsAll, false);
  assert.equal(links.update(1_500, 31_000), false);
  assert.ok(links.update(2_500, 32_000), "the decision changes");
  assert.ok(links.needsAll);
  links.update(500, 33_000);
  assert.ok(links.needsAll, "until it was confirmed for a while");
});
