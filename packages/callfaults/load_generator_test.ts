import assert from "node:assert/strict";
import { after, test } from "node:test";
import { reservePorts } from "../demo/ports.ts";
import { until } from "../demo/until.ts";
import {
  abortLoadGenerators,
  LoadGenerator,
  MAX_UNFINISHED_CALLS,
} from "./load_generator.ts";

after(abortLoadGenerators);

// Guards against calls that pile up while no entry answers, until their
// retries take all processor time and the deployment under test can't recover.
test("calls pile up to a limit while no entry answers", async () => {
  const ports = await reservePorts();
  const seeds = [{ host: "127.0.0.1", port: ports.take() }];
  const load = new LoadGenerator({
    service: "alloc",
    seeds,
    rate: 20_000,
    retryForMs: 300,
  });
  let mostUnfinished = 0;
  await until(
    () => {
      const unfinished = load.sent - load.calls.length;
      mostUnfinished = Math.max(mostUnfinished, unfinished);
      return load.calls.length >= 2 * MAX_UNFINISHED_CALLS;
    },
    { what: "calls end after their last retry" },
  );
  ports.release();
  assert.equal(mostUnfinished, MAX_UNFINISHED_CALLS);
});
