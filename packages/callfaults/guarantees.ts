import assert from "node:assert/strict";
import type { RecordedExecution } from "./backend_process.ts";
import type { Attempt, CallRecord, LoadGenerator } from "./load_generator.ts";

/** Error codes whose responses must carry `Retry-After`. */
const CODES_WITH_RETRY_AFTER: ReadonlySet<string> = new Set([
  "queue_full",
  "no_server",
  "claim_unavailable",
  "not_ready",
]);

/** The executions of all servers, indexed by key and by request id. */
class ExecutionIndex {
  readonly byKey: ReadonlyMap<string, readonly RecordedExecution[]>;
  readonly byRequest: ReadonlyMap<string, readonly RecordedExecution[]>;

  constructor(executions: readonly RecordedExecution[]) {
    this.byKey = groupById(executions, ({ key }) => key);
    this.byRequest = groupById(executions, ({ requestId }) => requestId);
  }
}

function groupById(
  executions: readonly RecordedExecution[],
  idOf: (execution: RecordedExecution) => string | undefined,
): Map<string, RecordedExecution[]> {
  const groups = new Map<string, RecordedExecution[]>();
  for (const execution of executions) {
    const id = idOf(execution);
    if (id === undefined) continue;
    const groupMembers = groups.get(id);
    if (groupMembers) groupMembers.push(execution);
    else groups.set(id, [execution]);
  }
  return groups;
}

/**
 * Checks the guarantees to callers against the executions at backend servers: a
 * key is executed at most once, a `not-run` request is not executed, and each
 * response belongs to its request. Returns a description of each violation.
 */
export function guaranteeViolations(
  calls: readonly CallRecord[],
  executions: readonly RecordedExecution[],
): string[] {
  const index = new ExecutionIndex(executions);
  const violations: string[] = [];
  for (const [key, { length }] of index.byKey) {
    if (length > 1) violations.push(`key ${key} ran ${length} times`);
  }
  for (const { attempts } of calls) {
    for (const attempt of attempts)
      violations.push(...checkAttempt(attempt, index));
  }
  return violations;
}

function checkAttempt(attempt: Attempt, index: ExecutionIndex): string[] {
  const { outcome, requestId = "", key, code, retryAfter, at } = attempt;
  const name = `${attempt.path} ${requestId} (${outcome}, ${code ?? attempt.status})`;
  const violations: string[] = [];
  if (outcome === "not-run") {
    if (index.byRequest.has(requestId)) violations.push(`${name}: it ran`);
    const before = index.byKey
      .get(key ?? "")
      ?.filter((execution) => execution.at < at);
    if (before && before.length > 0)
      violations.push(`${name}: its key had run`);
  }
  if (code && CODES_WITH_RETRY_AFTER.has(code)) {
    const seconds = Number(retryAfter);
    const waitMs = attempt.retryAfterMs ?? 0;
    const isConsistent =
      seconds >= 1 && waitMs > 0 && waitMs <= seconds * 1_000;
    if (!isConsistent) violations.push(`${name}: Retry-After is ${retryAfter}`);
  }
  if (outcome === "answered" && attempt.status === 200) {
    violations.push(
      ...checkResponse(attempt, index).map(
        (violation) => `${name}: ${violation}`,
      ),
    );
  }
  return violations;
}

/** Checks that the echo in a response matches the request and an execution. */
function checkResponse(attempt: Attempt, index: ExecutionIndex): string[] {
  const { path, key, requestId, body } = attempt;
  let echo: Record<string, unknown>;
  try {
    echo = JSON.parse(body) as Record<string, unknown>;
  } catch {
    return [`answer is not whole: ${body.slice(0, 80)}`];
  }
  const violations: string[] = [];
  if (echo.path !== path) violations.push(`answer is for ${echo.path}`);
  if (echo.key !== key) violations.push(`answer is for key ${echo.key}`);
  // A retry gets the stored response of the request that ran with its key.
  const executedId = key ? index.byKey.get(key)?.[0]?.requestId : requestId;
  if (echo.request_id !== executedId)
    violations.push(`answer is for ${echo.request_id}`);
  if (!index.byRequest.has(String(executedId))) violations.push("it never ran");
  return violations;
}

/**
 * Counts the final outcomes that are no success, by class, outcome and code.
 */
export function countFailures(
  calls: readonly CallRecord[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { attempts } of calls) {
    const last = attempts.at(-1);
    if (!last || (last.outcome === "answered" && last.status === 200)) continue;
    const callClass = last.key === undefined ? "lookup" : "booking";
    const name = `${callClass} ${last.outcome} ${last.code ?? last.status}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

/**
 * Stops the load and checks all guarantees; fails on outcomes that aren't
 * expected. Returns the expected failures, counted as by `countFailures`.
 */
export async function stopAndCheck(
  load: LoadGenerator,
  options: {
    executions: () => readonly RecordedExecution[];
    /** Failures, in the format of `countFailures`, that the fault may cause. */
    expectedFailures?: RegExp;
  },
): Promise<Record<string, number>> {
  await load.stop();
  assert.equal(load.calls.length, load.sent, "each call has a final answer");
  assert.deepEqual(
    guaranteeViolations(load.calls, options.executions()).slice(0, 10),
    [],
  );
  const failures = countFailures(load.calls);
  const { expectedFailures } = options;
  const unexpected = Object.entries(failures).filter(
    ([name]) => !expectedFailures?.test(name),
  );
  assert.deepEqual(Object.fromEntries(unexpected), {});
  return failures;
}
