import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

/** Root of the repository. */
export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");

/** Bundled programs, because a process starts much slower through tsx. */
export interface Programs {
  readonly folder: string;
  readonly mangobank: string;
  /** Preloaded into processes that connect through relays. */
  readonly redirect: string;
  /** One stand-in backend server. */
  readonly backend: string;
}

let bundled: Promise<Programs> | undefined;

/** Bundles the programs, once for each test process. */
export function bundle(): Promise<Programs> {
  bundled ??= buildPrograms();
  return bundled;
}

async function buildPrograms(): Promise<Programs> {
  const folder = mkdtempSync(join(tmpdir(), "mangobank-faults-"));
  process.once("exit", () => rmSync(folder, { recursive: true, force: true }));
  // The exit handlers kill the processes of the sites as well.
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => process.exit(1));
  }
  process.setMaxListeners(100);
  await build({
    absWorkingDir: ROOT,
    entryPoints: {
      mangobank: "packages/cli/main.ts",
      redirect: "packages/faults/redirect.ts",
      backend: "packages/callfaults/backend_process.ts",
    },
    outdir: folder,
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    format: "cjs",
    target: "node20",
    alias: { "cbor-extract": "./scripts/empty.cjs" },
    logLevel: "warning",
  });
  return {
    folder,
    mangobank: join(folder, "mangobank.cjs"),
    redirect: join(folder, "redirect.cjs"),
    backend: join(folder, "backend.cjs"),
  };
}
