import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";

/** Packages without I/O, with the packages that each may import. */
const ALLOWED_IMPORTS: Readonly<Record<string, readonly string[]>> = {
  model: [],
  document: ["model"],
  agreement: ["model"],
  registry: ["model", "document"],
  configuration: ["model"],
  presence: ["model"],
  overload: ["model", "admission"],
  routing: ["model", "admission", "overload"],
  admission: ["model"],
  claims: ["model"],
  quarantine: ["model"],
  reachability: ["model"],
  tenants: ["model"],
  quotas: ["model"],
  client_limits: [],
};

const IMPURE_GLOBALS =
  /\b(setTimeout|setInterval|setImmediate|Date\.now|Math\.random)\b/;

/** Implementations of the clock and random numbers; they may use globals. */
const ADAPTERS = new Set(["model/clock.ts", "model/randomness.ts"]);

function sourceFiles(name: string): string[] {
  return readdirSync(join("packages", name), { recursive: true })
    .map((file) => join(name, String(file)))
    .filter((file) => file.endsWith(".ts"))
    .filter((file) => !/_test\.ts$|(^|\/)test_/.test(file));
}

for (const [name, allowed] of Object.entries(ALLOWED_IMPORTS)) {
  test(`${name} uses no I/O, timers or other packages than allowed`, () => {
    for (const file of sourceFiles(name)) {
      const text = readFileSync(join("packages", file), "utf8");
      const imports = [
        ...text.matchAll(/^(import|export)[^;]*?from "([^"]+)"/gms),
      ];
      for (const [statement, , target = ""] of imports) {
        // Type imports are erased at run time.
        if (statement.startsWith("import type")) continue;
        assert.ok(!target.startsWith("node:"), `${file} imports ${target}`);
        if (!target.startsWith("#")) continue;
        const imported = target.slice(1);
        assert.ok(allowed.includes(imported), `${file} imports ${target}`);
      }
      if (ADAPTERS.has(file)) continue;
      assert.doesNotMatch(text, IMPURE_GLOBALS, file);
    }
  });
}
