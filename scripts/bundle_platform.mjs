// Builds target/mangobank.cjs, the program of the roles for the users' platform: a
// loader, the bundle and a code cache for each role.
import { copyFileSync, mkdirSync, readdirSync, rmSync } from "node:fs";
import { build } from "esbuild";
import { buildId } from "./build_id.mjs";
import { writeCodeCaches } from "./code_caches.mjs";

const BUNDLE = "target/mangobank.bundle.js";

mkdirSync("target", { recursive: true });
// A role that gets none must not read that of another bundle.
for (const file of readdirSync("target")) {
  if (file.endsWith(".cache")) rmSync(`target/${file}`);
}
await build({
  entryPoints: ["platform/main.ts"],
  outfile: BUNDLE,
  bundle: true,
  platform: "node",
  format: "cjs",
  target: "node20",
  // The loader reads bytes as characters.
  charset: "ascii",
  // As Node.js wraps a module; the loader calls it.
  banner: {
    js: "(function(exports,require,module,__filename,__dirname){",
  },
  footer: { js: "})" },
  // A smaller bundle starts faster. Identifiers are not shortened, so that stack traces
  // keep their names; `keepNames` would define each name anew at every start.
  minifyWhitespace: true,
  minifySyntax: true,
  alias: {
    // The optional native add-on cannot be bundled.
    "cbor-extract": "./scripts/empty.cjs",
    // The roles log JSON. The reporter for terminals creates an Intl.Segmenter as
    // it is loaded, which takes some 20 ms of processor time at each start.
    consola: "consola/basic",
  },
  define: { MANGOBANK_BUILD: JSON.stringify(buildId()) },
  logLevel: "warning",
});
writeCodeCaches(BUNDLE);
copyFileSync("scripts/bundle_loader.cjs", "target/mangobank.cjs");
