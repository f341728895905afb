import assert from "node:assert/strict";
import { request as httpRequest } from "node:http";
import type { Socket } from "node:net";
import { after, before, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import fc from "fast-check";
import { HEADERS } from "#model";
import { RawBackend, writeWithoutEnd } from "#standin";
import { LocalSite } from "../demo/local_site.ts";
import { until } from "../demo/until.ts";

// MANGOBANK_HISTORIES sets the number of histories, MANGOBANK_SEED their seed.
const HISTORIES = Number(process.env.MANGOBANK_HISTORIES ?? 12);
const SEED = Number(process.env.MANGOBANK_SEED ?? 68);

const SERVICE = "lookups";
const SERVERS = 2;
/** As the stand-ins announce. */
const SLOTS_PER_SERVER = 6;
const DEADLINE_MS = 600;
/** Generous: a busy machine may delay what is due at the deadline. */
const END_WITHIN_MS = 15_000;
/** Longer than the part of a response that an entry holds before it forwards it. */
const LONG_BODY = "x".repeat(100_000);

const REJECTION = "HTTP/1.1 503 Full\r\nMangobank-Not-Started: true\r\n";
const HEADS = {
  answer: "HTTP/1.1 200 OK\r\n",
  error: "HTTP/1.1 500 Failed\r\n",
  rejection: REJECTION,
} as const;
type Head = keyof typeof HEADS;

/** How a server answers one request. */
interface Behaviour {
  readonly head: Head;
  readonly body: "short" | "long" | "endless" | "cut" | "stalled" | "none";
  readonly delayMs: number;
}

/** One call of a history. */
interface CallPlan {
  readonly afterMs: number;
  /** When the caller closes; undefined if it waits for the end. */
  readonly closesAfterMs: number | undefined;
}

let site: LocalSite;
const backends: RawBackend[] = [];
let calls = 0;
let queue: Behaviour[] = [];
/** Connections with a response that the server has not written to its end. */
const unfinished = new Set<Socket>();

function respond(socket: Socket): void {
  const behaviour = queue.shift() ?? {
    ...{ head: "answer", body: "short", delayMs: 0 },
  };
  setTimeout(() => write(socket, behaviour as Behaviour), behaviour.delayMs);
}

function write(socket: Socket, { head, body }: Behaviour): void {
  if (socket.destroyed) return;
  const first = HEADS[head];
  const withLength = (length: number, text: string) =>
    socket.write(`${first}Content-Length: ${length}\r\n\r\n${text}`);
  const neverEnds = () => {
    unfinished.add(socket);
    socket.once("close", () => unfinished.delete(socket));
  };
  switch (body) {
    case "short":
      withLength(2, "ok");
      return;
    case "long":
      withLength(LONG_BODY.length, LONG_BODY);
      return;
    case "endless":
      neverEnds();
      writeWithoutEnd(socket, {
        first: `${first}Transfer-Encoding: chunked\r\n\r\n`,
        piece: `4000\r\n${"y".repeat(0x4000)}\r\n`,
      });
      return;
    case "cut":
      withLength(LONG_BODY.length, LONG_BODY.slice(0, 70_000));
      setTimeout(() => socket.destroy(), 5);
      return;
    case "stalled":
      neverEnds();
      withLength(LONG_BODY.length, LONG_BODY.slice(0, 70_000));
      return;
    case "none":
      socket.destroy();
  }
}

before(async () => {
  site = await LocalSite.start({ entries: 1 });
  await site.configure({
    [SERVICE]: {
      slots_per_server: SLOTS_PER_SERVER,
      connections_per_server: 300,
      cold_start_ms: 0,
      retry_budget_percent: 50,
      measuring_budget_percent: 0,
      classes: {
        lookup: {
          priority: "patient",
          deadline_ms: DEADLINE_MS,
          repeatable: true,
        },
      },
      routes: [{ path: "/", class: "lookup" }],
    },
  });
  for (let index = 0; index < SERVERS; index++) {
    const backend = new RawBackend({
      id: `raw-${index}`,
      service: SERVICE,
      dataCentre: "riga-a",
      entries: () => site.addresses,
      respond,
    });
    await backend.start();
    backends.push(backend);
  }
  await site.serversKnown(SERVICE, SERVERS);
});

after(async () => {
  for (const backend of backends) backend.close();
  await site.close();
});

/** Makes a call; resolves with its status when it has ended, 0 without a whole one. */
function call({ afterMs, closesAfterMs }: CallPlan): Promise<number> {
  const [address] = site.addresses;
  return new Promise((resolve, reject) => {
    const start = () => {
      const outgoing = httpRequest({
        ...address,
        agent: false,
        // A request that is sent again and again as its servers fail is kept from them.
        path: `/${++calls}`,
        headers: { [HEADERS.service]: SERVICE },
      });
      const timer = setTimeout(() => {
        reject(new Error("no end of the call"));
        outgoing.destroy();
      }, END_WITHIN_MS);
      const end = (status: number) => {
        clearTimeout(timer);
        resolve(status);
      };
      outgoing.on("error", () => end(0));
      outgoing.on("close", () => end(0));
      outgoing.on("response", (response) => {
        response.resume();
        response.on("error", () => end(0));
        response.on("end", () =>
          end(response.complete ? (response.statusCode ?? 0) : 0),
        );
      });
      outgoing.end();
      if (closesAfterMs !== undefined)
        setTimeout(() => outgoing.destroy(), closesAfterMs);
    };
    setTimeout(start, afterMs);
  });
}

/** What the entry says that calls hold, by kind; probes may hold connections. */
async function heldResources(): Promise<Record<string, number>> {
  const [port] = site.metricsPorts;
  const response = await fetch(`http://127.0.0.1:${port}/metrics`);
  const text = await response.text();
  const lines = text.matchAll(
    /^mangobank_held_resources\{kind="(\w+)"\} (\d+)$/gm,
  );
  return Object.fromEntries(
    [...lines].map(([, kind, count]) => [kind ?? "", Number(count)]),
  );
}

async function assertNothingHeld(): Promise<void> {
  await until(() => unfinished.size === 0, {
    what: "no response is left open",
    withinMs: END_WITHIN_MS,
  });
  let held: Record<string, number> = {};
  const isFree = async () => {
    held = await heldResources();
    return Object.values(held).every((count) => count === 0);
  };
  await until(isFree, { what: "nothing is held", withinMs: END_WITHIN_MS });
  assert.ok("server_slot" in held && "server_connection" in held);
}

/** As many calls at once as the servers have slots. */
async function assertAllSlotsServe(): Promise<void> {
  const plans = Array.from({ length: SERVERS * SLOTS_PER_SERVER }, () => ({
    afterMs: 0,
    closesAfterMs: undefined,
  }));
  const isServed = async () => {
    const statuses = await Promise.all(plans.map(call));
    return statuses.every((status) => status === 200);
  };
  // Servers that failed get fewer calls for a while.
  await until(isServed, { what: "all calls are served", withinMs: 30_000 });
}

const behaviours = fc.record<Behaviour>({
  head: fc.constantFrom<Head>("answer", "error", "rejection", "rejection"),
  body: fc.constantFrom(
    ...(["short", "long", "endless", "cut", "stalled", "none"] as const),
  ),
  delayMs: fc.constantFrom(0, 0, 20, 300),
});
const plans = fc.record<CallPlan>({
  afterMs: fc.integer({ min: 0, max: 100 }),
  closesAfterMs: fc.option(fc.integer({ min: 0, max: 400 }), {
    nil: undefined,
  }),
});

// Failure: a service is never served again after rejections with long or endless
// bodies, since the slots and connections of the attempts are held for good (review
// case 6).
test("whichever way its attempts end, a call gives back all that it took", async () => {
  const property = fc.asyncProperty(
    fc.array(behaviours, { minLength: 6, maxLength: 24 }),
    fc.array(plans, { minLength: 3, maxLength: 12 }),
    async (answers, calls) => {
      queue = [...answers];
      await Promise.all(calls.map(call));
      queue = [];
      await assertNothingHeld();
    },
  );
  await fc.assert(property, {
    seed: SEED,
    numRuns: HISTORIES,
    endOnFailure: true,
  });
  await assertAllSlotsServe();
});

// Failure: a rejection with a body without end keeps its slot and its connection.
for (const body of ["long", "endless", "stalled"] as const) {
  test(`a rejection with a ${body} body is closed, and its slot is free`, async () => {
    const head = "rejection";
    queue = Array.from({ length: 4 }, () => ({ head, body, delayMs: 0 }));
    await call({ afterMs: 0, closesAfterMs: undefined });
    assert.ok(queue.length < 4, "a server has rejected the call");
    await assertNothingHeld();
  });
}

// Failure: a rejection of one of two parallel attempts ends the other one, which is at
// work, and its answer is lost.
test("a rejection of a parallel attempt leaves the other one at work", async () => {
  await assertAllSlotsServe();
  // Enough answers to know how long a call takes, after which a second one is sent.
  for (let count = 0; count < 60; count++)
    await call({ afterMs: 0, closesAfterMs: undefined });
  const served: number[] = [];
  for (let count = 0; count < 5; count++) {
    queue = [
      { head: "answer", body: "short", delayMs: 300 },
      { head: "rejection", body: "short", delayMs: 0 },
      { head: "rejection", body: "short", delayMs: 0 },
      { head: "rejection", body: "short", delayMs: 0 },
      { head: "rejection", body: "short", delayMs: 0 },
      { head: "rejection", body: "short", delayMs: 0 },
    ];
    served.push(await call({ afterMs: 0, closesAfterMs: undefined }));
    queue = [];
    await delay(50);
  }
  assert.deepEqual(served, [200, 200, 200, 200, 200]);
  await assertNothingHeld();
});
