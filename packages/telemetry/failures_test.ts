import assert from "node:assert/strict";
import { test } from "node:test";
import { Metrics, recordEndpointFailure, recordTaskFailure } from "./index.ts";

// Guards against failures that are survived and that nobody sees.
test("failures are counted by place", async () => {
  recordTaskFailure("test_task");
  recordTaskFailure("test_task");
  recordEndpointFailure("test_endpoint");
  const text = await new Metrics().text();
  assert.match(text, /^mangobank_task_failures_total\{task="test_task"\} 2$/m);
  assert.match(
    text,
    /^mangobank_endpoint_failures_total\{endpoint="test_endpoint"\} 1$/m,
  );
});
