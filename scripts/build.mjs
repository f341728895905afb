// Builds dist/mangobank, a single executable with Node.js and the program.
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from "node:fs";
import { build } from "esbuild";
import { buildId } from "./build_id.mjs";

const SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

mkdirSync("dist", { recursive: true });
await build({
  entryPoints: ["packages/cli/main.ts"],
  outfile: "dist/mangobank.cjs",
  bundle: true,
  platform: "node",
  format: "cjs",
  target: "node20",
  minify: true,
  keepNames: true,
  // A native add-on can't be part of a single executable.
  alias: { "cbor-extract": "./scripts/empty.cjs" },
  define: { MANGOBANK_BUILD: JSON.stringify(buildId()) },
  logLevel: "warning",
});
writeFileSync(
  "dist/sea.json",
  JSON.stringify({
    main: "dist/mangobank.cjs",
    output: "dist/mangobank.blob",
    disableExperimentalSEAWarning: true,
    useCodeCache: true,
  }),
);
execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], {
  stdio: ["ignore", "ignore", "inherit"],
});
copyFileSync(process.execPath, "dist/mangobank");
chmodSync("dist/mangobank", 0o755);
execFileSync(
  process.execPath,
  [
    "node_modules/postject/dist/cli.js",
    "dist/mangobank",
    "NODE_SEA_BLOB",
    "dist/mangobank.blob",
    "--sentinel-fuse",
    SENTINEL_FUSE,
  ],
  { stdio: ["ignore", "ignore", "inherit"] },
);
console.log("built dist/mangobank");
