/** One run of a request at a server. */
export interface Execution {
  readonly requestId: string;
  /** The idempotency key, if the request has one. */
  readonly key: string | undefined;
  readonly server: string;
  readonly incarnation: number;
  readonly method: string;
  readonly path: string;
}

/** Records every run of any number of servers, to check the guarantees. */
export class Ledger {
  readonly executions: Execution[] = [];
  readonly #byKey = new Map<string, Execution[]>();
  readonly #byRequest = new Map<string, Execution[]>();

  record(execution: Execution): void {
    this.executions.push(execution);
    append(this.#byRequest, execution.requestId, execution);
    if (execution.key) append(this.#byKey, execution.key, execution);
  }

  ofKey(key: string): readonly Execution[] {
    return this.#byKey.get(key) ?? [];
  }

  ofRequest(requestId: string): readonly Execution[] {
    return this.#byRequest.get(requestId) ?? [];
  }

  /** Keys that ran more than once. */
  repeatedKeys(): string[] {
    return [...this.#byKey]
      .filter(([, runs]) => runs.length > 1)
      .map(([key]) => key);
  }

  /** Those of the given request ids that ran although they were denied. */
  ranAmong(requestIds: Iterable<string>): string[] {
    return [...requestIds].filter((id) => this.#byRequest.has(id));
  }
}

function append<K, V>(map: Map<K, V[]>, key: K, value: V): void {
  const values = map.get(key);
  if (values) values.push(value);
  else map.set(key, [value]);
}
