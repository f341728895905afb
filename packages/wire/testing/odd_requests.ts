import { connect } from "node:net";

/** A request that few clients send, and what its answer must be. */
export interface OddRequest {
  readonly name: string;
  readonly bytes: Buffer;
  /** Whether the answer must be an error of the client (4xx). */
  readonly isRefused?: boolean;
}

export interface OddAnswer {
  readonly status: number | undefined;
  readonly text: string;
}

/** More than any server accepts as a head. */
const HUGE_PATH_BYTES = 1024 * 1024;
/** Levels at which a recursive function exceeds the stack. */
const DEEP_LEVELS = 9_000;
/** Longest wait for an answer; a server that gives none holds the connection. */
const ANSWER_TIMEOUT_MS = 3_000;

/**
 * The requests, of which those with a body go to one endpoint. A request whose
 * body is cut has no end, so the client ends its side after it.
 */
export function oddRequests(endpoint: {
  readonly method: string;
  readonly path: string;
}): OddRequest[] {
  const { method, path } = endpoint;
  const post = (body: string | Buffer, headers = "") => {
    const bytes = Buffer.from(body);
    const length = headers || `content-length: ${bytes.length}\r\n`;
    const head = `${method} ${path} HTTP/1.1\r\nhost: a.example\r\n${length}\r\n`;
    return Buffer.concat([Buffer.from(head), bytes]);
  };
  const get = (target: string, headers = "", verb = "GET") =>
    Buffer.from(
      `${verb} ${target} HTTP/1.1\r\nhost: a.example\r\n${headers}\r\n`,
    );
  const targets: Readonly<Record<string, string>> = {
    "a percent sign at the end": `${path}/%`,
    "percent sequences that are no UTF-8": `${path}/%ff%fe`,
    "an encoded NUL": `${path}/%00`,
    "two slashes": "//",
    "two slashes and a port": "//a:b",
    "only a query": "/?",
    "an absolute target": "http://a.example/x",
    "an absolute target that is no URL": "http://[/x",
    "a query that does not decode": "/x?a=%ff&%&=&&",
    "brackets and bars": "/[]|{}^",
    "a fragment": "/x#y",
    "dots above the root": "/../../x",
    "bytes above ASCII": "/\u00ff\u00fe",
  };
  const chunked = "transfer-encoding: chunked\r\n";
  const bodies: Readonly<Record<string, Buffer>> = {
    "an empty body": post(""),
    "a body that is no JSON": post("{"),
    "a body of null": post("null"),
    "a body of invalid UTF-8": post(Buffer.from([0x22, 0xff, 0xfe, 0x22])),
    "arrays nested deep": post(
      "[".repeat(DEEP_LEVELS) + "]".repeat(DEEP_LEVELS),
    ),
    "objects nested deep": post(
      `${'{"a":'.repeat(DEEP_LEVELS)}1${"}".repeat(DEEP_LEVELS)}`,
    ),
    "a value nested deep in a field": post(
      `{"upsert":{"resources":[${"[".repeat(DEEP_LEVELS)}${"]".repeat(DEEP_LEVELS)}]}}`,
    ),
    "a key twice": post('{"a":1,"a":2}'),
    "a prototype": post('{"__proto__":{"x":1},"constructor":1}'),
    "chunks with a trailer": post("1\r\n1\r\n0\r\nx-a: b\r\n\r\n", chunked),
  };
  const refused: Readonly<Record<string, Buffer>> = {
    "a path of 1 MiB": get(`/${"x".repeat(HUGE_PATH_BYTES)}`),
    "a header of 1 MiB": get("/", `x-a: ${"x".repeat(HUGE_PATH_BYTES)}\r\n`),
    "no host": Buffer.from("GET / HTTP/1.1\r\n\r\n"),
    "an unknown method": get("/", "", "FROB"),
    "a length that is no number": post("{}", "content-length: two\r\n"),
    "two lengths": post("{}", "content-length: 2\r\ncontent-length: 3\r\n"),
    "a chunk size that is no number": post("zz\r\n", chunked),
    "a tunnel": get("a.example:80", "", "CONNECT"),
    "an unknown expectation": get("/", "expect: 200-maybe\r\n"),
    "a header without a colon": get("/", "x\r\n"),
  };
  const others: Readonly<Record<string, Buffer>> = {
    "an upgrade": get("/", "connection: upgrade\r\nupgrade: websocket\r\n"),
    "all options": get("*", "", "OPTIONS"),
    "a wait for 100": post(
      "{}",
      "content-length: 2\r\nexpect: 100-continue\r\n",
    ),
    "a method with a body that has none": get("/", "content-length: 0\r\n"),
  };
  return [
    ...Object.entries(targets).flatMap(([name, target]) => [
      { name, bytes: get(target) },
      { name: `${name}, ${method}`, bytes: get(target, "", method) },
    ]),
    ...toRequests(bodies),
    ...toRequests(others),
    ...toRequests(refused).map((odd) => ({ ...odd, isRefused: true })),
  ];
}

/** Sends bytes and resolves with the first final answer on the connection. */
export function sendOddRequest(
  port: number,
  bytes: Buffer,
): Promise<OddAnswer> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1");
    let text = "";
    const finish = () => {
      clearTimeout(timer);
      socket.destroy();
      resolve({ status: finalStatus(text), text });
    };
    const timer = setTimeout(finish, ANSWER_TIMEOUT_MS);
    socket.on("data", (part) => {
      text += part.toString("latin1");
      if (finalStatus(text) !== undefined) finish();
    });
    socket.on("error", () => undefined);
    socket.on("close", finish);
    socket.write(bytes);
  });
}

/** The status of the first answer that is not informational. */
function finalStatus(text: string): number | undefined {
  const statuses = [...text.matchAll(/HTTP\/1\.1 (\d{3})[^\r\n]*\r\n/g)];
  return statuses.map(([, status]) => Number(status)).find((s) => s >= 200);
}

function toRequests(table: Readonly<Record<string, Buffer>>): OddRequest[] {
  return Object.entries(table).map(([name, bytes]) => ({ name, bytes }));
}
