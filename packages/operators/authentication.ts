import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { Team } from "#model";
import type { Actor } from "#registry";

/** Returns the SHA-256 of a credential, in hexadecimal. */
export function hashCredential(credential: string): string {
  return createHash("sha256").update(credential, "utf8").digest("hex");
}

/** Returns the bearer token of a request; undefined if absent or malformed. */
export function readCredential(request: IncomingMessage): string | undefined {
  const header = request.headers.authorization ?? "";
  return /^Bearer ([\x21-\x7e]+)$/i.exec(header)?.[1];
}

/**
 * Identifies the owner of a credential. It is compared with all hashes, each in
 * constant time, so that the response time reveals nothing about them.
 */
export function authenticate(
  credential: string,
  credentials: { readonly system: string; readonly teams: readonly Team[] },
): Actor | undefined {
  const presented = hashCredential(credential);
  const isSystem = isEqual(presented, credentials.system);
  let isTeam = false;
  for (const team of credentials.teams) {
    if (isEqual(presented, team.credential)) isTeam = true;
  }
  if (isSystem) return { type: "system" };
  return isTeam ? { type: "team", credentialSha256: presented } : undefined;
}

function isEqual(a: string, b: string): boolean {
  const [left, right] = [Buffer.from(a, "hex"), Buffer.from(b, "hex")];
  return left.length === right.length && timingSafeEqual(left, right);
}
