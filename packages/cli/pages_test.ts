import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import {
  describeSchema,
  formatReference,
  SYSTEM_SECTION_SCHEMA,
  TEAM_SECTION_SCHEMA,
} from "#document";
import { OPERATOR_ERRORS } from "#operators";
import {
  HISTORY_REVISIONS,
  MAX_CACHED_REPLIES,
  REPLY_LIFETIME_MS,
} from "#registry";
import { CONTROL_SCHEMA, ENTRY_SCHEMA } from "#settings";
import { EXIT } from "./exit_codes.ts";
import { COMMANDS } from "./program.ts";

const page = (name: string) =>
  readFileSync(`docs/operators/${name}.md`, "utf8");

const REFERENCES = [
  { name: "document", title: "system", schema: SYSTEM_SECTION_SCHEMA },
  { name: "document", title: "other sections", schema: TEAM_SECTION_SCHEMA },
  { name: "settings", title: "entry", schema: ENTRY_SCHEMA },
  { name: "settings", title: "control", schema: CONTROL_SCHEMA },
];

for (const { name, title, schema } of REFERENCES) {
  test(`the page ${name} lists the keys of ${title} as the schema has them`, () => {
    const rows = describeSchema(schema);
    assert.ok(rows.every(({ description }) => description !== ""));
    assert.ok(page(name).includes(formatReference(rows)));
  });
}

test("the page document states the bounds of the registry", () => {
  const text = page("document");
  assert.ok(text.includes(`| revisions of a section | ${HISTORY_REVISIONS},`));
  const hours = REPLY_LIFETIME_MS / 3_600_000;
  const answers = MAX_CACHED_REPLIES.toLocaleString("en");
  assert.ok(text.includes(`${hours} hours, at most ${answers} answers`));
});

test("the page commands lists each command, exit code and error", () => {
  const text = page("commands");
  for (const { paths } of COMMANDS) {
    assert.ok(text.includes(`\`mangobank ${paths[0]?.join(" ")}`));
  }
  for (const code of Object.values(EXIT)) {
    assert.ok(text.includes(`\n| ${code} | `));
  }
  for (const [code, status] of Object.entries(OPERATOR_ERRORS)) {
    assert.ok(text.includes(`| \`${code}\` | ${status} |`), code);
  }
});
