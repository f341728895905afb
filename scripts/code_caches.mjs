import { spawnSync } from "node:child_process";
import { existsSync, readFileSync, renameSync, rmSync } from "node:fs";

/** Time in which a role without settings reports them as invalid and exits. */
const EXIT_TIMEOUT_MS = 30_000;
/** A role's command line; V8 rejects the cache of a process with other flags. */
const RUN_LINE = /^run = "node (.*?) ?target\/mangobank\.cjs (\w+)"$/gm;
const DEPLOY_FILE = "deploy/system.toml";

/**
 * Writes a code cache of the bundle for each role of the deploy file, with the flags
 * that the role is run with. A role without a cache compiles the bundle as it starts.
 */
export function writeCodeCaches(bundle) {
  for (const { role, flags } of deployedRoles()) {
    const cache = `target/mangobank.${role}.cache`;
    const unfinished = `${cache}.new`;
    const maker = ["scripts/code_cache.cjs", role, bundle, unfinished];
    rmSync(unfinished, { force: true });
    const { error, signal } = spawnSync(
      process.execPath,
      [...flags, ...maker],
      {
        env: { PATH: process.env.PATH, MANGOBANK_BOOT: "/dev/null" },
        stdio: "ignore",
        timeout: EXIT_TIMEOUT_MS,
      },
    );
    if (existsSync(unfinished)) renameSync(unfinished, cache);
    else console.warn(`no code cache of ${role}: ${error ?? signal}`);
  }
}

function deployedRoles() {
  // The sources of an older commit may be built without it.
  if (!existsSync(DEPLOY_FILE)) return [];
  return [...readFileSync(DEPLOY_FILE, "utf8").matchAll(RUN_LINE)].map(
    ([, flags, role]) => ({ role, flags: flags.split(" ").filter(Boolean) }),
  );
}
