import { hash32 } from "#model";
import type { Actor, PutReply, PutSection } from "./commands.ts";

/** Time for which a resent change gets its first reply again. */
export const REPLY_LIFETIME_MS = 24 * 3_600_000;

/** Most cached replies; enough for 14,000 changes a day. */
export const MAX_CACHED_REPLIES = 20_000;

/** Most characters of cached replies, since a list of faults can be long. */
export const MAX_CACHED_CHARACTERS = 8 * 1024 * 1024;

/** The first reply to a change. */
export interface CachedReply {
  /** Actor and change id, so that teams neither see nor block others' ids. */
  readonly key: string;
  /** Fingerprint that tells a resent change from another with the same id. */
  readonly content: string;
  readonly at: number;
  readonly reply: PutReply;
}

/**
 * Caches the first reply to each change id, so that a resent change is applied
 * once. Dropping a reply at a limit is harmless: a resent change that had been
 * accepted is then refused because of its base revision.
 */
export class ReplyCache {
  /** Oldest first. */
  readonly #replies = new Map<string, CachedReply>();
  #characters = 0;

  /** The first reply to the same change, if it is cached. */
  find(command: PutSection, now: number): PutReply | undefined {
    const cached = this.#replies.get(cacheKey(command));
    if (cached === undefined || isExpired(cached, now)) return undefined;
    if (cached.content === contentFingerprint(command)) return cached.reply;
    return { type: "change_id_reused", changeId: command.changeId };
  }

  /** Caches the first reply to a change and drops old ones. */
  store(command: PutSection, first: { reply: PutReply; at: number }): void {
    const { at } = first;
    // A conflict's text is looked up in the history when the change is resent.
    const reply =
      first.reply.type === "conflict"
        ? { ...first.reply, text: undefined }
        : first.reply;
    const key = cacheKey(command);
    this.#remove(key);
    this.add({ key, content: contentFingerprint(command), at, reply });
    for (const oldest of this.#replies.values()) {
      const fits =
        this.#replies.size <= MAX_CACHED_REPLIES &&
        this.#characters <= MAX_CACHED_CHARACTERS;
      if (fits && !isExpired(oldest, at)) break;
      this.#remove(oldest.key);
    }
  }

  /** Adds a reply, such as one from a snapshot. */
  add(cached: CachedReply): void {
    this.#replies.set(cached.key, cached);
    this.#characters += encodedSize(cached);
  }

  /** All cached replies, oldest first. */
  all(): CachedReply[] {
    return [...this.#replies.values()];
  }

  #remove(key: string): void {
    const cached = this.#replies.get(key);
    if (cached === undefined) return;
    this.#replies.delete(key);
    this.#characters -= encodedSize(cached);
  }
}

function isExpired(cached: CachedReply, now: number): boolean {
  return cached.at + REPLY_LIFETIME_MS <= now;
}

function encodedSize(cached: CachedReply): number {
  return JSON.stringify(cached).length;
}

function cacheKey({ actor, changeId }: PutSection): string {
  return `${actorKey(actor)}/${changeId}`;
}

function actorKey(actor: Actor): string {
  return actor.type === "system" ? "system" : `team:${actor.credentialSha256}`;
}

function contentFingerprint(command: PutSection): string {
  const { section, baseRevision, text } = command;
  return `${section}@${baseRevision}:${text.length}:${hash32(text)}`;
}
