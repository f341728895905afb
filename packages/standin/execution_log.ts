/** One execution of a request by a backend server. */
export interface Execution {
  readonly requestId: string;
  /** The idempotency key, if the request has one. */
  readonly key: string | undefined;
  readonly server: string;
  readonly incarnation: number;
  readonly method: string;
  readonly path: string;
}

/**
 * Records every execution at any number of servers, so that tests can check
 * that no request ran twice or after mangobank said that it did not run.
 */
export class ExecutionLog {
  readonly executions: Execution[] = [];
  readonly #byKey = new Map<string, Execution[]>();
  readonly #byRequest = new Map<string, Execution[]>();

  record(execution: Execution): void {
    this.executions.push(execution);
    append(this.#byRequest, execution.requestId, execution);
    if (execution.key) append(this.#byKey, execution.key, execution);
  }

  executionsForKey(key: string): readonly Execution[] {
    return this.#byKey.get(key) ?? [];
  }

  executionsForRequest(requestId: string): readonly Execution[] {
    return this.#byRequest.get(requestId) ?? [];
  }

  /** Idempotency keys that were executed more than once. */
  keysExecutedMoreThanOnce(): string[] {
    return [...this.#byKey]
      .filter(([, executions]) => executions.length > 1)
      .map(([key]) => key);
  }

  /** The request ids, out of those given, that were executed. */
  executedAmong(requestIds: Iterable<string>): string[] {
    return [...requestIds].filter((id) => this.#byRequest.has(id));
  }
}

function append<K, V>(map: Map<K, V[]>, key: K, value: V): void {
  const values = map.get(key);
  if (values) values.push(value);
  else map.set(key, [value]);
}
