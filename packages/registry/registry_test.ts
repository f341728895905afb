import assert from "node:assert/strict";
import { test } from "node:test";
import { UNSETTLED } from "#model";
import {
  ALLOC_ACTOR,
  entry,
  putSection,
  REPORT_ACTOR,
  SYSTEM_ACTOR,
  SYSTEM_TEXT,
  sectionText,
} from "./fixtures.ts";
import { FORMER_VIEW_RETENTION_MS } from "./membership.ts";
import { Registry } from "./registry.ts";
import { REPLY_LIFETIME_MS } from "./reply_cache.ts";
import { HISTORY_REVISIONS } from "./sections.ts";

function registryWithSystemSection(): Registry {
  const registry = new Registry();
  const reply = registry.apply(putSection("system", { actor: SYSTEM_ACTOR }));
  assert.equal(reply.type, "accepted");
  return registry;
}

test("of two changes of the same revision only the first is accepted", () => {
  const registry = registryWithSystemSection();
  const base = { actor: ALLOC_ACTOR, baseRevision: 0 };
  const first = registry.apply(putSection("alloc", { ...base, changeId: "x" }));
  assert.deepEqual(first, {
    type: "accepted",
    section: "alloc",
    sectionRevision: 1,
    documentRevision: 2,
    version: 2,
  });
  const text = "services: {}";
  const second = registry.apply(
    putSection("alloc", { ...base, text, changeId: "y" }),
  );
  assert.deepEqual(second, {
    type: "conflict",
    section: "alloc",
    revision: 1,
    text: sectionText("alloc"),
  });
  assert.equal(registry.configuration().version, 2);
});

test("a resent change gets its first reply and is applied once", () => {
  const registry = registryWithSystemSection();
  const change = putSection("alloc", { actor: ALLOC_ACTOR, changeId: "x" });
  const first = registry.apply(change);
  const next = { actor: ALLOC_ACTOR, baseRevision: 1, text: "services: {}" };
  registry.apply(putSection("alloc", { ...next, changeId: "y" }));
  assert.deepEqual(registry.apply({ ...change, at: 9_000 }), first);
  assert.equal(registry.section("alloc")?.revision, 2);
});

test("a resent change that was refused gets its first conflict again", () => {
  const registry = registryWithSystemSection();
  const base = { actor: ALLOC_ACTOR };
  registry.apply(putSection("alloc", { ...base, changeId: "x" }));
  const loser = putSection("alloc", {
    ...base,
    changeId: "y",
    text: "stops: {}",
  });
  const first = registry.apply(loser);
  const change = { ...base, baseRevision: 1, text: "services: {}" };
  registry.apply(putSection("alloc", { ...change, changeId: "z" }));
  assert.deepEqual(registry.apply(loser), first);
});

test("a resent forbidden change stays refused once its team owns the section", () => {
  const registry = registryWithSystemSection();
  const change = putSection("extra", {
    actor: ALLOC_ACTOR,
    changeId: "x",
    text: "",
  });
  assert.equal(registry.apply(change).type, "forbidden");
  const text = SYSTEM_TEXT.replace("{ alloc:", "{ extra: alloc-team, alloc:");
  const grant = { actor: SYSTEM_ACTOR, baseRevision: 1, text };
  assert.equal(registry.apply(putSection("system", grant)).type, "accepted");
  assert.equal(registry.apply(change).type, "forbidden");
  const again = { ...change, changeId: "y" };
  assert.equal(registry.apply(again).type, "accepted");
});

test("a change id is unique within a team", () => {
  const registry = registryWithSystemSection();
  registry.apply(putSection("alloc", { actor: ALLOC_ACTOR, changeId: "x" }));
  const other = { actor: ALLOC_ACTOR, changeId: "x", text: "stops: {}" };
  assert.deepEqual(registry.apply(putSection("alloc", other)), {
    type: "change_id_reused",
    changeId: "x",
  });
  const report = putSection("report", { actor: REPORT_ACTOR, changeId: "x" });
  assert.equal(registry.apply(report).type, "accepted");
});

test("a change resent after its reply has expired is a conflict", () => {
  const registry = registryWithSystemSection();
  const change = putSection("alloc", { actor: ALLOC_ACTOR, changeId: "x" });
  registry.apply(change);
  const resent = { ...change, at: change.at + REPLY_LIFETIME_MS };
  assert.equal(registry.apply(resent).type, "conflict");
});

const STRANGER = { type: "team", credentialSha256: "c".repeat(64) } as const;

const REFUSALS = [
  { name: "another team's section", section: "report", actor: ALLOC_ACTOR },
  { name: "system by a team", section: "system", actor: ALLOC_ACTOR },
  { name: "a team's section by system", section: "alloc", actor: SYSTEM_ACTOR },
  { name: "a section without owner", section: "extra", actor: ALLOC_ACTOR },
  { name: "a built-in name", section: "constructor", actor: ALLOC_ACTOR },
  { name: "an unknown credential", section: "alloc", actor: STRANGER },
] as const;

for (const { name, section, actor } of REFUSALS) {
  test(`a put is refused for ${name}`, () => {
    const registry = registryWithSystemSection();
    const before = registry.configuration();
    const baseRevision = section === "system" ? 1 : 0;
    const reply = registry.apply(putSection(section, { actor, baseRevision }));
    const expected = actor === STRANGER ? "unknown_credential" : "forbidden";
    assert.equal(reply.type, expected);
    assert.deepEqual(registry.configuration(), before);
  });
}

test("a change that would break another section is refused", () => {
  const registry = registryWithSystemSection();
  registry.apply(putSection("alloc", { actor: ALLOC_ACTOR }));
  const text = SYSTEM_TEXT.replace("alloc: alloc-team, ", "");
  const change = { actor: SYSTEM_ACTOR, baseRevision: 1, text };
  const reply = registry.apply(putSection("system", change));
  assert.ok(reply.type === "invalid");
  assert.equal(reply.faults[0]?.type, "section_without_owner");
});

test("the history is limited to the newest revisions", () => {
  const registry = registryWithSystemSection();
  for (let revision = 0; revision < HISTORY_REVISIONS + 5; revision++) {
    const facts = { actor: ALLOC_ACTOR, baseRevision: revision };
    registry.apply(putSection("alloc", { ...facts, changeId: `c${revision}` }));
  }
  const history = registry.history("alloc");
  assert.equal(history.length, HISTORY_REVISIONS);
  assert.equal(history[0]?.revision, 6);
  assert.equal(history.at(-1)?.revision, HISTORY_REVISIONS + 5);
});

test("each change of the view increments its epoch and keeps the former view", () => {
  const registry = new Registry();
  const join = (id: string, incarnation: number, at: number) =>
    registry.apply({
      type: "entry_joined",
      entry: entry(id, { incarnation }),
      at,
    }).type;
  assert.equal(join("e1", 2, 1_000), "done");
  assert.equal(join("e1", 2, 1_500), "unchanged");
  assert.equal(join("e1", 1, 1_600), "stale");
  assert.equal(join("e1", 3, 2_000), "done");
  const { view, formerViews, version } = registry.configuration();
  assert.equal(view.epoch, 2);
  assert.equal(version, 2);
  assert.deepEqual(
    formerViews.map(({ epoch, began, ended, entries }) => {
      return [epoch, began, ended, entries[0]?.incarnation];
    }),
    [[1, 1_000, UNSETTLED, 2]],
  );
  const settle = { type: "views_settled", epochs: [1, 2], at: 2_500 } as const;
  assert.equal(registry.apply(settle).type, "done");
  assert.equal(registry.apply({ ...settle, at: 2_600 }).type, "unchanged");
  assert.equal(registry.configuration().formerViews[0]?.ended, 2_500);
  join("e2", 1, 2_500 + FORMER_VIEW_RETENTION_MS);
  const later = registry.configuration().formerViews;
  assert.deepEqual(
    later.map(({ epoch }) => epoch),
    [2],
  );
});

test("entries that join and leave in one command make one view", () => {
  const registry = new Registry();
  registry.apply({ type: "entry_joined", entry: entry("e1"), at: 1_000 });
  const changed = {
    type: "entries_changed",
    changes: [
      { type: "entry_joined", entry: entry("e2"), at: 2_000 },
      { type: "entry_joined", entry: entry("e3"), at: 2_000 },
      { type: "entry_left", id: "e1", incarnation: 1, at: 2_000 },
    ],
    at: 2_000,
  } as const;
  assert.equal(registry.apply(changed).type, "done");
  const { view, formerViews, version } = registry.configuration();
  assert.deepEqual(
    view.entries.map(({ id }) => id),
    ["e2", "e3"],
  );
  assert.deepEqual([view.epoch, version], [2, 2]);
  assert.deepEqual(
    formerViews.map(({ epoch, entries }) => [epoch, entries.length]),
    [[1, 1]],
  );
  assert.equal(registry.apply(changed).type, "unchanged");
});

test("an unsettled view is kept at any age", () => {
  const registry = new Registry();
  registry.apply({ type: "entry_joined", entry: entry("e1"), at: 1_000 });
  registry.apply({ type: "entry_joined", entry: entry("e2"), at: 2_000 });
  const at = 2_000 + 10 * FORMER_VIEW_RETENTION_MS;
  registry.apply({ type: "entry_joined", entry: entry("e3"), at });
  const { formerViews } = registry.configuration();
  assert.deepEqual(
    formerViews.map(({ epoch, ended }) => [epoch, ended]),
    [
      [1, UNSETTLED],
      [2, UNSETTLED],
    ],
  );
});

test("an entry that is stopping does not become ready again", () => {
  const registry = new Registry();
  registry.apply({ type: "entry_joined", entry: entry("e1"), at: 1 });
  const change = (state: "ready" | "stopping") =>
    registry.apply({
      type: "entry_changed",
      entry: entry("e1", { state }),
      at: 2,
    }).type;
  assert.equal(change("stopping"), "done");
  assert.equal(change("ready"), "stale");
  const leave = { type: "entry_left", id: "e1", at: 3 } as const;
  assert.equal(registry.apply({ ...leave, incarnation: 2 }).type, "stale");
  assert.equal(registry.apply({ ...leave, incarnation: 1 }).type, "done");
  assert.equal(registry.apply({ ...leave, incarnation: 1 }).type, "unchanged");
});

test("the clock of a new leader does not set the registry's time back", () => {
  const registry = new Registry();
  registry.apply({ type: "entry_joined", entry: entry("e1"), at: 5_000 });
  registry.apply({ type: "entry_joined", entry: entry("e2"), at: 4_000 });
  registry.apply({ type: "views_settled", epochs: [1], at: 4_500 });
  const { view, formerViews } = registry.configuration();
  assert.equal(view.began, 5_000);
  assert.equal(formerViews[0]?.ended, 5_000);
});
