import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { bundlePrograms } from "../demo/bundle.ts";

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
  const paths = await bundlePrograms(folder, {
    mangobank: "packages/cli/main.ts",
    redirect: "packages/faults/redirect.ts",
    backend: "packages/callfaults/backend_process.ts",
  });
  return { folder, ...paths };
}
