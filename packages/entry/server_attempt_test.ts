import assert from "node:assert/strict";
import { test } from "node:test";
import { ok } from "neverthrow";
import type { CallChain } from "#admission";
import { ManualClock } from "#model";
import { SilentLogger } from "#telemetry";
import type { RequestResult } from "./backend_response.ts";
import type { CallEnvironment } from "./call_environment.ts";
import { HeldResources } from "./held_resources.ts";
import { type AttemptInput, ServerAttempt } from "./server_attempt.ts";
import { serverRecord } from "./test_server_record.ts";

const WHOLE_ANSWER = {
  type: "answer",
  response: { status: 200, body: Buffer.from("ok"), rawHeaders: [] },
} as unknown as RequestResult;

/** Starts an attempt at a server that answers when the test says. */
function startAttempt() {
  const clock = new ManualClock();
  const server = serverRecord(1);
  const finished: string[] = [];
  let cancelled = 0;
  let answer: (result: RequestResult) => void = () => undefined;
  const resources = new HeldResources({ clock, logger: new SilentLogger() });
  const options = {
    ...{ clock, resources },
    paths: { unreached: () => [], heard: () => undefined },
    protocol: { callerRequestId: () => "r1", serverHeaders: () => [] },
    keyAccess: { isRequired: false },
    metrics: { recordWait: () => 0, recordServerRequest: () => 0 },
    assignments: {
      submit: (
        _call: unknown,
        _exclude: unknown,
        decide: (d: unknown) => void,
      ) => decide(ok({ server, basis: { by: "local" } })),
      finish: (_id: string, { kind }: { kind: string }) => finished.push(kind),
    },
    client: {
      hasRoom: () => true,
      send: () => ({
        result: new Promise<RequestResult>((resolve) => {
          answer = resolve;
        }),
        cancel: () => {
          cancelled += 1;
        },
      }),
    },
  } as unknown as CallEnvironment;
  const attempt = new ServerAttempt(options, {
    id: "c1",
    input: {
      call: { id: "c1", service: "alloc", deadline: 1_000 },
      request: { method: "GET", url: "/", rawHeaders: [], headers: {} },
    } as unknown as AttemptInput,
    chain: {} as CallChain,
    tried: new Set(),
  });
  const run = attempt.run(() => undefined);
  return {
    ...{ attempt, run, finished, resources },
    cancelled: () => cancelled,
    answer: () => answer(WHOLE_ANSWER),
  };
}

const turn = () => new Promise(setImmediate);

// Failure: a request that runs at a server is cancelled by the stop of its entry, as its
// slot was given to other entries while this one was cut off.
test("a request goes on when its slot is given back early", async () => {
  const { attempt, run, finished, cancelled, answer } = startAttempt();
  await turn();
  assert.ok(attempt.server);
  attempt.releaseEarly();
  assert.deepEqual(finished, ["cancelled"]);
  assert.ok(attempt.server, "the server still has the request");
  attempt.stopWaiting("entry_stops");
  assert.equal(cancelled(), 0);
  answer();
  assert.equal((await run).type, "ended");
  assert.deepEqual(finished, ["cancelled"], "the slot is given back once");
  assert.equal(attempt.server, undefined);
});

test("a released attempt cancels its request and gives its slot back once", async () => {
  const { attempt, finished, cancelled, resources } = startAttempt();
  await turn();
  attempt.release();
  attempt.release();
  assert.equal(cancelled(), 1);
  assert.deepEqual(finished, ["cancelled"]);
  assert.ok(resources.counts().every(([, count]) => count === 0));
});

test("a whole answer leaves its connection to the next request", async () => {
  const { attempt, run, finished, cancelled, answer } = startAttempt();
  await turn();
  answer();
  await run;
  attempt.release();
  assert.equal(cancelled(), 0);
  assert.deepEqual(finished, ["answered"]);
});
