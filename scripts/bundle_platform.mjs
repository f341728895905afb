// Builds target/mangobank.cjs, the bundle of the roles for the users' platform.
import { mkdirSync } from "node:fs";
import { build } from "esbuild";
import { buildId } from "./build_id.mjs";

mkdirSync("target", { recursive: true });
await build({
  entryPoints: ["platform/main.ts"],
  outfile: "target/mangobank.cjs",
  bundle: true,
  platform: "node",
  format: "cjs",
  target: "node20",
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
