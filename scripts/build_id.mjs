import { execFileSync } from "node:child_process";

/** Names the commit that is built; `unknown` outside of a repository. */
export function buildId() {
  try {
    const options = { encoding: "utf8", stdio: ["ignore", "pipe", "ignore"] };
    return execFileSync(
      "git",
      ["rev-parse", "--short=12", "HEAD"],
      options,
    ).trim();
  } catch {
    return "unknown";
  }
}
