import assert from "node:assert/strict";
import { test } from "node:test";
import { SystemClock } from "#model";
import { tryConnection } from "./connection_check.ts";

// An exception of Node's client ended the process that made the check.
for (const address of [
  { host: "127.0.0.1", port: 65_536 },
  { host: "127.0.0.1\u0000", port: 9 },
]) {
  test(`a connection to ${JSON.stringify(address)} fails`, async () => {
    const options = { timeoutMs: 1_000, clock: new SystemClock() };
    assert.equal(await tryConnection(address, options), "failed");
  });
}
