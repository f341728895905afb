import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";

/** Packages of decisions with the packages that each may import. */
const PURE: Readonly<Record<string, readonly string[]>> = {
  model: [],
  document: ["model"],
  agreement: ["model"],
  registry: ["model", "document"],
  configuration: ["model"],
  presence: ["model"],
  routing: ["model", "admission"],
  admission: ["model"],
  claims: ["model"],
  quarantine: ["model"],
};

const TIMERS =
  /\b(setTimeout|setInterval|setImmediate|Date\.now|Math\.random)\b/;

/** The process's own clock and randomness are adapters of model's ports. */
const ADAPTERS = new Set(["model/clock.ts", "model/randomness.ts"]);

function sources(name: string): string[] {
  return readdirSync(join("packages", name), { recursive: true })
    .map((file) => join(name, String(file)))
    .filter((file) => file.endsWith(".ts"))
    .filter((file) => !/_test\.ts$|(^|\/)test_/.test(file));
}

for (const [name, allowed] of Object.entries(PURE)) {
  test(`${name} decides without I/O, timers or foreign packages`, () => {
    for (const file of sources(name)) {
      const text = readFileSync(join("packages", file), "utf8");
      const imports = [
        ...text.matchAll(/^(import|export)[^;]*?from "([^"]+)"/gms),
      ];
      for (const [statement, , target = ""] of imports) {
        // Types of messages carry no behaviour.
        if (statement.startsWith("import type")) continue;
        assert.ok(!target.startsWith("node:"), `${file} imports ${target}`);
        if (!target.startsWith("#")) continue;
        const other = target.slice(1);
        assert.ok(allowed.includes(other), `${file} imports ${target}`);
      }
      if (ADAPTERS.has(file)) continue;
      assert.doesNotMatch(text, TIMERS, file);
    }
  });
}
