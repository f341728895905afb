import {
  Agent,
  type AgentOptions,
  request as httpRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
} from "node:http";
import type { Socket } from "node:net";
import { type BackendServer, backendServerKey } from "#model";
import type { CallProtocol } from "./call_protocol.ts";
import type { RequestBody } from "./request_body.ts";
import {
  type AnswerHead,
  type ClientEnd,
  collectAnswer,
} from "./server_answer.ts";

/** Idle connections close before servers usually close theirs (5 s). */
const IDLE_CONNECTION_MS = 4_000;
/** Part of the idle time that a server states; a request may cross its close. */
const IDLE_SHARE = 0.75;

/** What is sent to a backend server. */
export interface BackendRequest {
  readonly method: string;
  readonly path: string;
  /** Node's flat list of header names and values. */
  readonly headers: string[];
  readonly body: RequestBody;
  readonly connectTimeoutMs: number;
  /** The id that the server's answer names, if it names one. */
  readonly requestId: string | undefined;
}

/** One request under way at a backend server. */
export interface Attempt {
  readonly end: Promise<ClientEnd>;
  /** Closes the connection, which cancels the request at the server. */
  cancel(): void;
}

/** Sends requests to backend servers over pooled connections. */
export class BackendClient {
  readonly #agents = new Map<string, { agent: Agent; incarnation: number }>();
  readonly #protocol: CallProtocol;

  constructor(protocol: CallProtocol) {
    this.#protocol = protocol;
  }

  send(server: BackendServer, request: BackendRequest): Attempt {
    const { address } = server;
    const outgoing = httpRequest({
      host: address.host,
      port: address.port,
      method: request.method,
      path: request.path,
      headers: request.headers,
      agent: this.#agent(server),
      setHost: false,
    });
    let connected = false;
    let settled = false;
    const end = new Promise<ClientEnd>((resolve) => {
      const settle = (result: ClientEnd) => {
        if (settled) return;
        settled = true;
        resolve(result);
      };
      const fail = (detail: string) => {
        // Errors after the response has begun are the response's own.
        const type = connected ? "connection_lost" : "not_connected";
        settle({ type: "fault", fault: { type, detail } });
      };
      outgoing.once("socket", (socket) => {
        connected = !socket.connecting;
        if (connected) return;
        const timeoutMs = request.connectTimeoutMs;
        limitConnect(socket, { timeoutMs, request: outgoing });
        socket.once("connect", () => {
          connected = true;
        });
      });
      let responded = false;
      outgoing.once("error", (error) => fail(error.message));
      outgoing.once("close", () => {
        if (!responded) fail("connection closed");
      });
      outgoing.once("response", (response) => {
        responded = true;
        const head = this.#describe(response, request.requestId);
        this.#keepIdle(server, response.headers);
        if (head.foreign) {
          fail("the answer is for another request");
          outgoing.destroy();
          return;
        }
        void collectAnswer(response, head).then(settle);
      });
    });
    sendBody(outgoing, request.body);
    return {
      end,
      cancel: () => {
        outgoing.destroy();
      },
    };
  }

  /** Closes idle connections to an incarnation that is gone; calls go on. */
  retire(server: BackendServer): void {
    const key = backendServerKey(server);
    const pooled = this.#agents.get(key);
    if (pooled?.incarnation !== server.incarnation) return;
    this.#agents.delete(key);
    closeIdle(pooled.agent);
  }

  /** Breaks all connections. */
  close(): void {
    for (const { agent } of this.#agents.values()) agent.destroy();
    this.#agents.clear();
  }

  #describe(
    response: IncomingMessage,
    requestId: string | undefined,
  ): AnswerHead {
    const { headers, rawHeaders, statusCode: status = 502 } = response;
    const report = this.#protocol.report({ status, headers }, requestId);
    return { ...report, status, headers, rawHeaders };
  }

  /** Keeps idle connections for a part of the time that the server states. */
  #keepIdle(server: BackendServer, headers: IncomingHttpHeaders): void {
    const stated = /^timeout=(\d+)/.exec(String(headers["keep-alive"] ?? ""));
    const pooled = this.#agents.get(backendServerKey(server));
    if (!stated || !pooled) return;
    const { options } = pooled.agent as Agent & { options: AgentOptions };
    options.timeout = Number(stated[1]) * 1_000 * IDLE_SHARE;
  }

  #agent(server: BackendServer): Agent {
    const key = backendServerKey(server);
    const pooled = this.#agents.get(key);
    if (pooled?.incarnation === server.incarnation) return pooled.agent;
    if (pooled) closeIdle(pooled.agent);
    const agent = new Agent({
      keepAlive: true,
      maxSockets: Number.POSITIVE_INFINITY,
      maxFreeSockets: server.slots,
      timeout: IDLE_CONNECTION_MS,
      scheduling: "lifo",
    });
    this.#agents.set(key, { agent, incarnation: server.incarnation });
    return agent;
  }
}

/** Closes unused connections, and the others once their calls have ended. */
function closeIdle(agent: Agent): void {
  agent.maxFreeSockets = 0;
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}

type Outgoing = ReturnType<typeof httpRequest>;

function limitConnect(
  socket: Socket,
  options: { timeoutMs: number; request: Outgoing },
): void {
  const timer = setTimeout(() => {
    options.request.destroy(
      new Error(`no connection within ${options.timeoutMs} ms`),
    );
  }, options.timeoutMs);
  const stop = () => clearTimeout(timer);
  socket.once("connect", stop);
  socket.once("close", stop);
}

function sendBody(outgoing: Outgoing, body: RequestBody): void {
  if (!body.rest) {
    outgoing.end(body.head.length > 0 ? body.head : undefined);
    return;
  }
  outgoing.write(body.head);
  body.rest.pipe(outgoing);
}
