import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { EMPTY_CONFIGURATION } from "#configuration";
import type { Clock } from "#model";
import { SilentLogger } from "#telemetry";
import { drainCalls } from "./call_drain.ts";
import { CallerServer } from "./caller_server.ts";
import { TEST_LIMITS } from "./test_limits.ts";

/** More than the kernel takes of an answer that nobody reads. */
const LONG_ANSWER_BYTES = 16 * 1024 * 1024;

/** Ten minutes pass with each look at the clock. */
class FastClock implements Clock {
  #now = 0;

  now(): number {
    this.#now += 600_000;
    return this.#now;
  }

  wallTime(): number {
    return Date.now();
  }
}

// Guards against a stop without a time of its own that never ends, since a
// caller neither reads its answer nor leaves.
test("a caller that does not read keeps no stop from ending", async () => {
  let answered: () => void = () => undefined;
  const answering = new Promise<void>((resolve) => {
    answered = resolve;
  });
  const callers = new CallerServer({
    limits: TEST_LIMITS,
    handleApi: undefined,
    handleCall: (request, response) => {
      request.resume();
      response.writeHead(200, { "content-length": LONG_ANSWER_BYTES });
      response.end("x".repeat(LONG_ANSWER_BYTES));
      answered();
    },
  });
  const listening = await callers.listen({ host: "127.0.0.1", port: 0 });
  const { port } = listening._unsafeUnwrap();
  const socket = connect({ host: "127.0.0.1", port });
  socket.on("error", () => undefined);
  socket.pause();
  await once(socket, "connect");
  socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  await answering;
  await drainCalls({
    timeoutMs: undefined,
    self: { id: "e", incarnation: 1 },
    configuration: () => EMPTY_CONFIGURATION,
    callers,
    onSchedule: () => undefined,
    progress: () => [],
    clock: new FastClock(),
    logger: new SilentLogger(),
  });
  assert.equal(callers.pendingRequests, 1);
  callers.destroy();
  socket.destroy();
});
