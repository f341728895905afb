/** Stand-ins for the platform's operator, workers and clients. */
import { createServer } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { call } from "./site.mjs";

const HEARTBEAT_MS = 1_500;

/** The operator, who turns to another control address after a failure. */
export class Operator {
  #addresses;

  /** `addresses` returns the control addresses in the operator's list. */
  constructor(addresses) {
    this.#addresses = addresses;
  }

  /** Sends an order once to each address until one gives a clear answer. */
  async send(options, { rounds = 1 } = {}) {
    for (let round = 0; round < rounds; round++) {
      for (const address of this.#addresses()) {
        const answer = await call(address, { ...options, timeoutMs: 1_000 });
        if (answer && answer.status < 500) return answer;
      }
      await delay(200);
    }
    return undefined;
  }

  patch(resources, { remove = {}, rounds } = {}) {
    return this.send(
      {
        method: "POST",
        path: "/mangobank/Config.Patch",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ upsert: { resources }, remove }),
      },
      { rounds },
    );
  }

  read({ rounds } = {}) {
    return this.send({ path: "/mangobank/Config.Get" }, { rounds });
  }
}

export function routeItem(name, version, spec = {}) {
  return {
    entry_type: "routes",
    metadata: { name, version: `r${version}` },
    spec: {
      hostname: "a.example",
      path_prefix: `/${name}/`,
      type: "safe",
      timeout_s: 4,
      target_latency_s: 0.6,
      priority: 1,
      service: "alloc",
      attempts: 2,
      ...spec,
    },
  };
}

export function serviceItem(name, version) {
  return {
    entry_type: "services",
    metadata: { name, version: `r${version}` },
    spec: {
      health_check_path: "/health",
      max_connections: 280,
      protocol: "h1",
      tls: false,
    },
  };
}

export function limitsItem(version) {
  return {
    entry_type: "limits",
    metadata: { version: `r${version}` },
    spec: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout_s: 3,
      idle_timeout_s: 15,
    },
  };
}

/** Splits a byte stream into HTTP/1.1 requests, as a strict server does. */
class RequestReader {
  #bytes = Buffer.alloc(0);

  /** The next whole request; undefined if more bytes are needed. */
  next() {
    const end = this.#bytes.indexOf("\r\n\r\n");
    if (end < 0) return undefined;
    const [requestLine, ...lines] = this.#bytes
      .subarray(0, end)
      .toString("latin1")
      .split("\r\n");
    const match = /^([A-Z]+) (\S+) HTTP\/1\.1$/.exec(requestLine);
    if (!match) throw new Error(`no request: ${requestLine.slice(0, 60)}`);
    const headers = Object.fromEntries(
      lines.map((line) => {
        const colon = line.indexOf(":");
        return [
          line.slice(0, colon).toLowerCase(),
          line.slice(colon + 1).trim(),
        ];
      }),
    );
    const body = this.#body(headers, end + 4);
    if (!body) return undefined;
    this.#bytes = this.#bytes.subarray(body.end);
    const [, method, path] = match;
    return { method, path, headers, body: body.bytes };
  }

  push(bytes) {
    this.#bytes = Buffer.concat([this.#bytes, bytes]);
  }

  #body(headers, start) {
    if (headers["transfer-encoding"] !== "chunked") {
      const end = start + Number(headers["content-length"] ?? 0);
      if (this.#bytes.length < end) return undefined;
      return { bytes: this.#bytes.subarray(start, end), end };
    }
    const parts = [];
    for (let at = start; ; ) {
      const lineEnd = this.#bytes.indexOf("\r\n", at);
      if (lineEnd < 0) return undefined;
      const size = Number.parseInt(
        this.#bytes.toString("latin1", at, lineEnd),
        16,
      );
      const end = lineEnd + 2 + size + 2;
      if (this.#bytes.length < end) return undefined;
      if (size === 0) return { bytes: Buffer.concat(parts), end };
      parts.push(this.#bytes.subarray(lineEnd + 2, end - 2));
      at = end;
    }
  }
}

/** A worker that keeps to the pages, with hooks for faults that they name. */
export class Worker {
  /** Requests that it ran. */
  runs = [];
  workMs = 100;
  capacity = 6;
  state = "ready";
  /** Called before an answer is written; may write further bytes itself. */
  beforeAnswer = () => undefined;
  #sequence = 0;
  #running = 0;
  #sockets = new Set();
  #server = createServer((socket) => this.#serve(socket));
  #timer;

  constructor({ id, service, zone }) {
    Object.assign(this, { id, service, zone, born: Date.now() });
  }

  async listen() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve),
    );
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  heartbeat() {
    const { address, born, service, zone, capacity, state } = this;
    return {
      address,
      born,
      info: { service, version: "v1", zone, capacity },
      status: { state, sequence: ++this.#sequence, warmup_remaining_s: 0 },
    };
  }

  /** Sends heartbeats until the worker is closed. */
  announce(operator) {
    const beat = () =>
      void operator.send({
        method: "POST",
        path: `/mangobank/Instances.Heartbeat/${this.id}`,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(this.heartbeat()),
      });
    beat();
    this.#timer = setInterval(beat, HEARTBEAT_MS);
  }

  close() {
    clearInterval(this.#timer);
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #serve(socket) {
    this.#sockets.add(socket);
    const reader = new RequestReader();
    let answers = Promise.resolve();
    socket.on("error", () => undefined);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("data", (bytes) => {
      reader.push(bytes);
      try {
        for (let request = reader.next(); request; request = reader.next()) {
          const current = request;
          answers = answers.then(() => this.#answer(socket, current));
        }
      } catch {
        answers = answers.then(() => socket.destroy());
      }
    });
  }

  async #answer(socket, request) {
    const { method, path, headers, body } = request;
    if (method === "GET" && path === "/health") {
      this.#write(socket, request, 200, { "Mangobank-Instance-Id": this.id });
      return;
    }
    const id = headers["mangobank-request-id"];
    const echoed = id === undefined ? {} : { "Mangobank-Request-Id": id };
    const target = headers["mangobank-target-instance"];
    if (target !== undefined && target !== this.id) {
      const refused = { ...echoed, "Mangobank-Not-Executed": "1" };
      this.#write(socket, request, 421, refused);
      return;
    }
    if (id === undefined) {
      this.#write(socket, request, 400, { "Mangobank-Not-Executed": "1" });
      return;
    }
    const run = { id, method, path, body: body.toString("latin1") };
    this.runs.push({ ...run, worker: this.id });
    this.#running += 1;
    await delay(this.workMs);
    this.#running -= 1;
    this.#write(socket, request, 200, {
      ...echoed,
      "Mangobank-Response-Signature": `signed.${this.id}.${id}`,
    });
  }

  #write(socket, request, status, headers) {
    const text = status === 200 ? `${this.id} ${request.path}` : "";
    const fields = {
      ...headers,
      "Mangobank-Server-Load": `${this.#running},0,${this.capacity},100`,
      "Content-Length": Buffer.byteLength(text),
    };
    const lines = Object.entries(fields).map(([name, v]) => `${name}: ${v}`);
    const answer = `HTTP/1.1 ${status} X\r\n${lines.join("\r\n")}\r\n\r\n${text}`;
    this.beforeAnswer(socket, request, answer);
    if (!socket.destroyed) socket.write(answer);
  }
}

let requestNumber = 0;

/** Sends a client's request with an id of its own. */
export async function sendRequest(address, options) {
  const id = `req-${++requestNumber}`;
  const {
    path,
    method = "GET",
    headers = {},
    body,
    deadlineMs = 4_000,
  } = options;
  const answer = await call(address, {
    method,
    path,
    body,
    timeoutMs: deadlineMs,
    headers: {
      host: "a.example",
      "mangobank-request-id": id,
      "mangobank-request-deadline": String(deadlineMs),
      ...headers,
    },
  });
  return { id, answer };
}
