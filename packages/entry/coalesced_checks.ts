interface Running<Result> {
  readonly result: Promise<Result>;
  /** The check that begins when this one has ended. */
  next: Promise<Result> | undefined;
}

/**
 * Runs one check of each key at a time. Callers that ask during a check share the one
 * after it, so that each gets a result from after its question.
 *
 * Load pattern: many equal requests fail at many servers at once, and each of them asks
 * for a check of all these servers.
 */
export class CoalescedChecks<Result> {
  readonly #running = new Map<string, Running<Result>>();

  run(key: string, check: () => Promise<Result>): Promise<Result> {
    const running = this.#running.get(key);
    if (!running) return this.#start(key, check);
    const begin = () => this.#start(key, check);
    running.next ??= running.result.then(begin, begin);
    return running.next;
  }

  #start(key: string, check: () => Promise<Result>): Promise<Result> {
    const running: Running<Result> = { result: check(), next: undefined };
    this.#running.set(key, running);
    const finish = () => {
      if (!running.next) this.#running.delete(key);
    };
    running.result.then(finish, finish);
    return running.result;
  }
}
