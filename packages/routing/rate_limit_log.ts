import type { RateLimitChanges, ServerRateLimit } from "./messages.ts";
import type { SequenceNumbers } from "./sequence_numbers.ts";
import type { ServerSlots } from "./server_slots.ts";

/** Changes that are kept; an entry that lacks more gets all limits anew. */
const MAX_CHANGES = 1_000;

/**
 * A dispatcher's log of which servers began or ceased to limit their rate, so
 * that each entry is told only what it does not know. An entry joins its
 * dispatcher for single calls, too often to be told all limits each time.
 */
export class RateLimitLog {
  readonly #sequenceNumbers: SequenceNumbers;
  readonly #changes: { version: number; server: ServerSlots }[] = [];
  #version: number;
  /** Version since which all changes are kept. */
  #keptSince: number;

  /** Versions are never used twice by the process, also in later logs. */
  constructor(sequenceNumbers: SequenceNumbers) {
    this.#sequenceNumbers = sequenceNumbers;
    this.#version = sequenceNumbers.next();
    this.#keptSince = this.#version;
  }

  get version(): number {
    return this.#version;
  }

  /** Records that a server began or ceased to limit its rate. */
  record(server: ServerSlots): void {
    this.#version = this.#sequenceNumbers.next();
    this.#changes.push({ version: this.#version, server });
    if (this.#changes.length <= MAX_CHANGES) return;
    this.#keptSince = this.#changes.shift()?.version ?? this.#version;
  }

  /**
   * The changes after a version that this log had, else all limits; undefined
   * if there are none.
   */
  changesSince(
    version: number,
    context: { servers: Iterable<ServerSlots>; now: number },
  ): RateLimitChanges | undefined {
    if (version === this.#version) return undefined;
    const { servers, now } = context;
    const isComplete = version < this.#keptSince;
    const changed = isComplete ? servers : this.#serversChangedAfter(version);
    const limited: ServerRateLimit[] = [];
    const unlimited: string[] = [];
    for (const { record, rateLimit } of changed) {
      const { id: server, incarnation } = record;
      const notice = rateLimit.notice(now);
      if (notice) limited.push({ server, incarnation, ...notice });
      else if (!isComplete) unlimited.push(server);
    }
    return { version: this.#version, isComplete, limited, unlimited };
  }

  #serversChangedAfter(version: number): Set<ServerSlots> {
    const changed = this.#changes.filter((change) => change.version > version);
    return new Set(changed.map(({ server }) => server));
  }
}
