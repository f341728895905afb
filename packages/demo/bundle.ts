import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

/** Root of the repository. */
export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");

/**
 * Bundles each program into a file NAME.cjs of the folder, because a process
 * starts much more slowly through tsx. Returns the paths by name.
 */
export async function bundlePrograms<Name extends string>(
  folder: string,
  entryPoints: Readonly<Record<Name, string>>,
): Promise<Record<Name, string>> {
  await build({
    absWorkingDir: ROOT,
    entryPoints,
    outdir: folder,
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    alias: { "cbor-extract": "./scripts/empty.cjs" },
    logLevel: "warning",
  });
  const paths = Object.keys(entryPoints).map((name) => [
    name,
    join(folder, `${name}.cjs`),
  ]);
  return Object.fromEntries(paths) as Record<Name, string>;
}
