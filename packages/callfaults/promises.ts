import assert from "node:assert/strict";
import type { RecordedRun } from "./backend_process.ts";
import type { Load, MadeCall, Sent } from "./load.ts";

/** Codes after which a caller is told when to come back. */
const WITH_RETRY_AFTER: ReadonlySet<string> = new Set([
  "queue_full",
  "no_server",
  "claim_unavailable",
  "not_ready",
]);

/** Index of the runs in the ledgers of all servers. */
class Runs {
  readonly byKey: ReadonlyMap<string, readonly RecordedRun[]>;
  readonly byRequest: ReadonlyMap<string, readonly RecordedRun[]>;

  constructor(runs: readonly RecordedRun[]) {
    this.byKey = group(runs, ({ key }) => key);
    this.byRequest = group(runs, ({ requestId }) => requestId);
  }
}

function group(
  runs: readonly RecordedRun[],
  name: (run: RecordedRun) => string | undefined,
): Map<string, RecordedRun[]> {
  const groups = new Map<string, RecordedRun[]>();
  for (const run of runs) {
    const found = name(run);
    if (found === undefined) continue;
    const members = groups.get(found);
    if (members) members.push(run);
    else groups.set(found, [run]);
  }
  return groups;
}

/** Broken promises, in words; none if all hold. */
export function brokenPromises(
  calls: readonly MadeCall[],
  ledger: readonly RecordedRun[],
): string[] {
  const runs = new Runs(ledger);
  const found: string[] = [];
  for (const [key, { length }] of runs.byKey) {
    if (length > 1) found.push(`key ${key} ran ${length} times`);
  }
  for (const { attempts } of calls) {
    for (const sent of attempts) found.push(...checkSent(sent, runs));
  }
  return found;
}

function checkSent(sent: Sent, runs: Runs): string[] {
  const { outcome, requestId = "", key, code, retryAfter, at } = sent;
  const name = `${sent.path} ${requestId} (${outcome}, ${code ?? sent.status})`;
  const found: string[] = [];
  if (outcome === "not-run") {
    if (runs.byRequest.has(requestId)) found.push(`${name}: it ran`);
    const before = runs.byKey.get(key ?? "")?.filter((run) => run.at < at);
    if (before && before.length > 0) found.push(`${name}: its key had run`);
  }
  if (code && WITH_RETRY_AFTER.has(code)) {
    const seconds = Number(retryAfter);
    const wait = sent.retryAfterMs ?? 0;
    const named = seconds >= 1 && wait > 0 && wait <= seconds * 1_000;
    if (!named) found.push(`${name}: Retry-After is ${retryAfter}`);
  }
  if (outcome === "answered" && sent.status === 200) {
    found.push(...checkAnswer(sent, runs).map((fault) => `${name}: ${fault}`));
  }
  return found;
}

/** The stand-ins echo what they were asked, so a foreign answer shows. */
function checkAnswer(sent: Sent, runs: Runs): string[] {
  const { path, key, requestId, body } = sent;
  let echo: Record<string, unknown>;
  try {
    echo = JSON.parse(body) as Record<string, unknown>;
  } catch {
    return [`answer is not whole: ${body.slice(0, 80)}`];
  }
  const found: string[] = [];
  if (echo.path !== path) found.push(`answer is for ${echo.path}`);
  if (echo.key !== key) found.push(`answer is for key ${echo.key}`);
  // A resend gets the stored answer of the request that ran under its key.
  const ran = key ? runs.byKey.get(key)?.[0]?.requestId : requestId;
  if (echo.request_id !== ran) found.push(`answer is for ${echo.request_id}`);
  if (!runs.byRequest.has(String(ran))) found.push("it never ran");
  return found;
}

/** The final answers that are not a plain success, counted. */
export function unusual(calls: readonly MadeCall[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { attempts } of calls) {
    const last = attempts.at(-1);
    if (!last || (last.outcome === "answered" && last.status === 200)) continue;
    const kind = last.key === undefined ? "lookup" : "booking";
    const name = `${kind} ${last.outcome} ${last.code ?? last.status}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

/** Stops the load and checks every promise against the ledgers. */
export async function checkLoad(
  load: Load,
  options: {
    runs: () => readonly RecordedRun[];
    /** Final answers, as `unusual` names them, that the fault explains. */
    explained?: RegExp;
  },
): Promise<Record<string, number>> {
  await load.stop();
  assert.equal(load.calls.length, load.sent, "each call has a final answer");
  assert.deepEqual(brokenPromises(load.calls, options.runs()).slice(0, 10), []);
  const rest = unusual(load.calls);
  const { explained } = options;
  const unexplained = Object.entries(rest).filter(
    ([name]) => !explained?.test(name),
  );
  assert.deepEqual(Object.fromEntries(unexplained), {});
  return rest;
}
