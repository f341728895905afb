import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { bundlePrograms } from "../demo/bundle.ts";

/** Paths of the bundled programs; processes start much slower through tsx. */
export interface BundledPrograms {
  readonly folder: string;
  readonly mangobank: string;
  /** Script to preload into processes that connect through relays. */
  readonly redirect: string;
  /** Runs one stand-in backend server. */
  readonly backend: string;
}

let bundled: Promise<BundledPrograms> | undefined;

/** Bundles the programs on the first call in a test process. */
export function bundle(): Promise<BundledPrograms> {
  bundled ??= buildPrograms();
  return bundled;
}

async function buildPrograms(): Promise<BundledPrograms> {
  const folder = mkdtempSync(join(tmpdir(), "mangobank-faults-"));
  process.once("exit", () => rmSync(folder, { recursive: true, force: true }));
  // Exit on a signal, so that the exit handlers remove the folder and kill the
  // processes that tests started.
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => process.exit(1));
  }
  process.setMaxListeners(100);
  const paths = await bundlePrograms(folder, {
    mangobank: "packages/cli/main.ts",
    redirect: "packages/faults/redirect.ts",
    backend: "packages/callfaults/backend_process.ts",
  });
  return { folder, ...paths };
}
