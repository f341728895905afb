/**
 * Measures what clients cost a server in memory: a connection, a byte and a field of a
 * head. Run with `npm run client-memory`; takes some 10 s.
 */
import { fork } from "node:child_process";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { HttpServer } from "../http_server.ts";

const CLIENTS = 1_000;
const SETTLE_MS = 500;
const LONG_BYTES = 10_000;
const FIELDS = 1_500;

const LINE = "GET / HTTP/1.1\r\nhost: a\r\n";
const SHORT_FIELDS = "xa:10\r\n".repeat(FIELDS);
const LONG_FIELD = `x: ${"y".repeat(LONG_BYTES)}\r\n`;

/** What each client sends, by the name of the measurement. */
const SCRIPTS: Readonly<Record<string, string>> = {
  "connection without a byte": "",
  "unfinished head of a long field": `${LINE}${LONG_FIELD}`,
  "unfinished head of short fields": `${LINE}${SHORT_FIELDS}`,
  "request without an answer": `${LINE}\r\n`,
  "request of a long field": `${LINE}${LONG_FIELD}\r\n`,
  "request of short fields": `${LINE}${SHORT_FIELDS}\r\n`,
};

interface Usage {
  readonly residentBytes: number;
  readonly heldBytes: number;
}

async function serve(): Promise<void> {
  const server = new HttpServer({ maxHeaderSize: 65_536 }, () => undefined);
  const bound = await server.listen({ host: "127.0.0.1", port: 0 });
  process.on("message", () => {
    globalThis.gc?.();
    const { rss, heapUsed, external } = process.memoryUsage();
    process.send?.({ residentBytes: rss, heldBytes: heapUsed + external });
  });
  process.send?.(bound._unsafeUnwrap());
}

async function measure(name: string, bytes: string): Promise<void> {
  const child = fork(fileURLToPath(import.meta.url), ["serve"], {
    execArgv: ["--import", "tsx", "--expose-gc"],
  });
  const next = <T>() =>
    new Promise<T>((resolve) => child.once("message", resolve));
  const usage = () => {
    const answer = next<Usage>();
    child.send("usage");
    return answer;
  };
  const address = await next<{ host: string; port: number }>();
  const before = await usage();
  const sockets: Socket[] = [];
  for (let count = 0; count < CLIENTS; count++) {
    const socket = connect(address);
    socket.on("error", () => undefined);
    socket.write(bytes);
    sockets.push(socket);
    if (count % 100 === 99) await delay(20);
  }
  await delay(SETTLE_MS);
  const after = await usage();
  const each = (key: keyof Usage) =>
    Math.round((after[key] - before[key]) / CLIENTS);
  console.log(
    `${name}: ${each("heldBytes")} B held, ${each("residentBytes")} B resident, ` +
      `${bytes.length} B sent`,
  );
  child.kill("SIGKILL");
  for (const socket of sockets) socket.destroy();
}

if (process.argv[2] === "serve") await serve();
else {
  for (const [name, bytes] of Object.entries(SCRIPTS))
    await measure(name, bytes);
}
