import { createHash } from "node:crypto";

/** The hash of a caller's key, as the configuration has it. */
export function hashKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}
