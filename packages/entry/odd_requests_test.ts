import assert from "node:assert/strict";
import { after, test } from "node:test";
import { SystemClock, SystemRandomness } from "#model";
import { SilentLogger } from "#telemetry";
import { reservePorts } from "../demo/ports.ts";
import { oddRequests, sendOddRequest } from "../wire/testing/odd_requests.ts";
import { AdminServer } from "./admin_server.ts";
import { PublishedProtocol } from "./call_protocol.ts";
import { EntryProcess } from "./index.ts";
import { TEST_LIMITS } from "./test_limits.ts";

const ports = await reservePorts();
const address = () => ({ host: "127.0.0.1", port: ports.take() });
const settings = {
  id: "entry-1",
  cluster: "test",
  dataCentre: "riga-a",
  http: address(),
  peer: address(),
  metrics: address(),
  handover: address(),
  control: [address()],
  limits: TEST_LIMITS,
  addressKeepMs: 10_000,
  confirmedForMs: 3_000,
};
const entry = new EntryProcess({
  settings,
  logger: new SilentLogger(),
  clock: new SystemClock(),
  randomness: new SystemRandomness(),
});
(await entry.start())._unsafeUnwrap();
after(() => {
  entry.close();
  ports.release();
});

const plain = Buffer.from("GET /healthz HTTP/1.1\r\nhost: a.example\r\n\r\n");

// Guards against requests that end with a closed connection and no answer, and
// against an entry that ends by one of them.
for (const [server, port, path] of [
  ["callers", settings.http.port, "/x"],
  ["registrations", settings.http.port, "/.mangobank/servers/w-1"],
  ["lookups", settings.http.port, "/.mangobank/addresses"],
  ["handed-over calls", settings.handover.port, "/x"],
  ["metrics", settings.metrics.port, "/metrics"],
] as const) {
  for (const odd of oddRequests({ method: "PUT", path })) {
    test(`the server for ${server} answers ${odd.name}`, async () => {
      const { status = 0, text } = await sendOddRequest(port, odd.bytes);
      assert.ok(status >= 200 && status !== 500, `${status} ${text}`);
      // This entry has no configuration, so it refuses calls before their body.
      const isRefusal =
        (status >= 400 && status < 500) ||
        (server === "callers" && status === 503);
      if (odd.isRefused) assert.ok(isRefusal, text);
      const next = await sendOddRequest(port, plain);
      assert.notEqual(next.status, undefined);
    });
  }
}

/** Throws in the first answer of a call, and in no later one. */
class FailingProtocol extends PublishedProtocol {
  #failed = false;

  override errorResponse(
    ...about: Parameters<PublishedProtocol["errorResponse"]>
  ) {
    if (!this.#failed) {
      this.#failed = true;
      throw new TypeError("planted");
    }
    return super.errorResponse(...about);
  }
}

// Guards against a call that ends with a closed connection as the entry has an
// internal error, though it was sent to no server.
test("a call that an internal error ends is told that it has not run", async (t) => {
  const own = {
    http: address(),
    peer: address(),
    metrics: address(),
    handover: address(),
  };
  const other = new EntryProcess({
    settings: { ...settings, ...own, id: "entry-2" },
    logger: new SilentLogger(),
    clock: new SystemClock(),
    randomness: new SystemRandomness(),
    protocol: new FailingProtocol(),
  });
  t.after(() => other.close());
  (await other.start())._unsafeUnwrap();
  const { status, text } = await sendOddRequest(own.http.port, plain);
  assert.equal(status, 503);
  assert.match(text, /mangobank-outcome: not-run/);
  assert.match(text, /retry-after: 1/);
});

// Guards against a metric that can't be read and ends the process.
test("metrics that cannot be collected are answered with 500", async (t) => {
  const failures: unknown[] = [];
  const failing = () => {
    throw new TypeError("not collected");
  };
  const admin = new AdminServer({
    metrics: { contentType: "text/plain", text: async () => failing() },
    notReadyReasons: failing,
    status: () => ({}),
    onFailure: (failure) => failures.push(failure),
  });
  t.after(() => admin.close());
  const at = { host: "127.0.0.1", port: 0 };
  const { port } = (await admin.listen(at))._unsafeUnwrap();
  for (const path of ["/metrics", "/readyz"]) {
    const request = `GET ${path} HTTP/1.1\r\nhost: a.example\r\n\r\n`;
    const { status, text } = await sendOddRequest(port, Buffer.from(request));
    assert.equal(status, 500);
    assert.match(text, /"error":"internal_error","id":"[^"]+"/);
  }
  assert.equal(failures.length, 2);
});
