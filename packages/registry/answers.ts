import { hash32 } from "#model";
import type { Actor, PutReply, PutSection } from "./commands.ts";

/** Time for which a re-sent change gets its first answer. */
export const ANSWER_LIFETIME_MS = 24 * 3_600_000;

/** Answers kept at most; 14,000 changes a day fit. */
export const MAX_ANSWERS = 20_000;

/** Characters of answers kept at most, because a list of faults is long. */
export const ANSWER_CHARACTERS = 8 * 1024 * 1024;

/** The first answer to a change. */
export interface KeptAnswer {
  /** Actor and change id, so that no team sees or blocks another's ids. */
  readonly key: string;
  /** Tells a re-send from another change with the same id. */
  readonly content: string;
  readonly at: number;
  readonly reply: PutReply;
}

/**
 * First answers by change id. An answer that was dropped at a bound does no
 * harm: the re-send of an accepted change then fails at its base revision.
 */
export class Answers {
  /** In the order in which they were given. */
  readonly #kept = new Map<string, KeptAnswer>();
  #characters = 0;

  /** The first answer to the same change. */
  find(command: PutSection, now: number): PutReply | undefined {
    const kept = this.#kept.get(answerKey(command));
    if (kept === undefined || isExpired(kept, now)) return undefined;
    if (kept.content === describeContent(command)) return kept.reply;
    return { type: "change_id_reused", changeId: command.changeId };
  }

  /** Keeps the first answer to a change. */
  keep(command: PutSection, answer: { reply: PutReply; at: number }): void {
    const { at } = answer;
    // The text of a conflict is looked up in the history when it is re-sent.
    const reply =
      answer.reply.type === "conflict"
        ? { ...answer.reply, text: undefined }
        : answer.reply;
    const key = answerKey(command);
    this.#drop(key);
    this.add({ key, content: describeContent(command), at, reply });
    for (const oldest of this.#kept.values()) {
      const fits =
        this.#kept.size <= MAX_ANSWERS && this.#characters <= ANSWER_CHARACTERS;
      if (fits && !isExpired(oldest, at)) break;
      this.#drop(oldest.key);
    }
  }

  /** Adds an answer from a snapshot. */
  add(answer: KeptAnswer): void {
    this.#kept.set(answer.key, answer);
    this.#characters += size(answer);
  }

  /** All answers in the order in which they were given. */
  all(): KeptAnswer[] {
    return [...this.#kept.values()];
  }

  #drop(key: string): void {
    const kept = this.#kept.get(key);
    if (kept === undefined) return;
    this.#kept.delete(key);
    this.#characters -= size(kept);
  }
}

function isExpired(answer: KeptAnswer, now: number): boolean {
  return answer.at + ANSWER_LIFETIME_MS <= now;
}

function size(answer: KeptAnswer): number {
  return JSON.stringify(answer).length;
}

function answerKey({ actor, changeId }: PutSection): string {
  return `${actorKey(actor)}/${changeId}`;
}

function actorKey(actor: Actor): string {
  return actor.type === "system" ? "system" : `team:${actor.credentialSha256}`;
}

function describeContent(command: PutSection): string {
  const { section, baseRevision, text } = command;
  return `${section}@${baseRevision}:${text.length}:${hash32(text)}`;
}
