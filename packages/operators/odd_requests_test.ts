import assert from "node:assert/strict";
import { after, test } from "node:test";
import { withHealthEndpoints } from "#control";
import { oddRequests, sendOddRequest } from "../wire/testing/odd_requests.ts";
import { TestControlHost } from "./fixtures.ts";
import { createOperatorServer } from "./index.ts";

const host = new TestControlHost();
const { port } = await host.listen();
after(() => host.server.destroy());

const plain = Buffer.from("GET /v1/status HTTP/1.1\r\nhost: a.example\r\n\r\n");

// Guards against requests that end with a closed connection and no answer.
for (const odd of oddRequests({ method: "PUT", path: "/v1/sections/alloc" })) {
  test(`the operators' server answers ${odd.name}`, async () => {
    const { status = 0, text } = await sendOddRequest(port, odd.bytes);
    assert.ok(status >= 200 && status < 500, `${status} ${text}`);
    if (odd.isRefused) assert.ok(status >= 400, text);
    assert.notEqual((await sendOddRequest(port, plain)).status, undefined);
  });
}

// Guards against a control host that ends as a metric can't be read.
test("a control host answers 500 for what it cannot collect", async (t) => {
  const failures: unknown[] = [];
  const handle = withHealthEndpoints((_, response) => void response.end(), {
    control: {
      confirmRead: () => Promise.reject(new Error("no read")),
    } as never,
    metrics: {
      text: () => Promise.reject(new Error("not collected")),
    } as never,
  });
  const server = createOperatorServer(handle, {
    headerMaxBytes: 16_384,
    requestTimeoutMs: 5_000,
    connectionsMax: 10,
    onFailure: (failure) => failures.push(failure),
  });
  t.after(() => server.destroy());
  const listening = await server.listen({ host: "127.0.0.1", port: 0 });
  const at = listening._unsafeUnwrap().port;
  for (const path of ["/metrics", "/readyz"]) {
    const request = `GET ${path} HTTP/1.1\r\nhost: a.example\r\n\r\n`;
    const { status, text } = await sendOddRequest(at, Buffer.from(request));
    assert.equal(status, 500);
    assert.match(text, /"error":"internal_error","id":"[^"]+"/);
  }
  assert.equal(failures.length, 2);
});
