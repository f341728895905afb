import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { createServer, type Socket } from "node:net";
import { test } from "node:test";
import { type Call, SystemClock, SystemRandomness, type View } from "#model";
import { writeWithoutEnd } from "#standin";
import { Metrics, SilentLogger } from "#telemetry";
import { listen } from "#wire";
import { until } from "../demo/until.ts";
import { BackendClient } from "./backend_client.ts";
import { PublishedProtocol } from "./call_protocol.ts";
import { HandoverClient } from "./handover_client.ts";
import { HeldResources } from "./held_resources.ts";
import { EMPTY_BODY } from "./request_body.ts";

interface Ends {
  after(end: () => void): void;
}

/** Passes a call on to an entry that answers with these bytes; returns the result. */
async function passOn(t: Ends, respond: (socket: Socket) => void) {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("close", () => sockets.delete(socket));
    socket.once("data", () => respond(socket));
  });
  const bound = await listen(server, { host: "127.0.0.1", port: 0 });
  const { port } = bound._unsafeUnwrap();
  const clock = new SystemClock();
  const client = new BackendClient(new PublishedProtocol());
  t.after(() => {
    client.close();
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  const resources = new HeldResources({ clock, logger: new SilentLogger() });
  const handovers = new HandoverClient({
    ...{ self: "entry-1", cluster: "test", dataCentre: "riga-a" },
    ...{ clock, client, resources, version: () => 1 },
    randomness: new SystemRandomness(),
    network: { handle: () => undefined } as never,
    metrics: new Metrics({}),
    protocol: new PublishedProtocol(),
  });
  const handover = { host: "127.0.0.1", port };
  const entry = {
    ...{ id: "entry-2", dataCentre: "riga-a", incarnation: 1, state: "ready" },
    ...{ http: handover, peer: handover, handover },
  };
  handovers.configure({ epoch: 1, began: 0, entries: [entry] } as View);
  const call = {
    ...{ id: "c1", service: "alloc", class: "lookup", repeatable: true },
    deadline: clock.now() + 5_000,
  } as Call;
  const request = {
    ...{ method: "GET", url: "/", headers: {}, rawHeaders: [] },
  } as unknown as IncomingMessage;
  const body = EMPTY_BODY;
  const result = await handovers.attempt({ call, request, body }).run();
  return { result, resources, sockets };
}

// Failure: an entry of an older build passes on an answer whose status is none, and
// the caller gets it, or the entry that passed the call on fails as it writes it.
for (const status of ["000", "001", "600"]) {
  test(`the answer ${status} of another entry is a lost one`, async (t) => {
    const { result } = await passOn(t, (socket) =>
      socket.write(`HTTP/1.1 ${status} Odd\r\nContent-Length: 2\r\n\r\nok`),
    );
    assert.equal(result.type, "lost");
  });
}

// Failure: the connection of a refusal whose body is long, or has no end, is held for
// good.
test("the connection of a refusal with an endless body is closed", async (t) => {
  const { result, resources, sockets } = await passOn(t, (socket) =>
    writeWithoutEnd(socket, {
      first:
        "HTTP/1.1 503 No\r\nMangobank-Handover-Refused: busy\r\n" +
        "Transfer-Encoding: chunked\r\n\r\n",
      piece: `1000\r\n${"y".repeat(0x1000)}\r\n`,
    }),
  );
  assert.equal(result.type, "not_taken");
  await until(() => sockets.size === 0, { what: "the connection is closed" });
  await until(() => resources.counts().every(([, count]) => count === 0), {
    what: "nothing is held",
  });
});
