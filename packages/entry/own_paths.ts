import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type CallFault,
  type Clock,
  INTERNAL_PATH_ROOT,
  type Service,
} from "#model";
import {
  type AddressesResponse,
  type AnnouncementFault,
  parseAnnouncement,
  parseLeave,
  type ResultWithEffects,
  refusalResponse,
} from "#presence";
import { announcementDefaults, type Registrations } from "#registration";
import { PublishedProtocol } from "./call_protocol.ts";
import { replyFault, replyJson } from "./reply.ts";
import { readBody } from "./request_body.ts";

/** An announcement has about 250 bytes. */
const ANNOUNCEMENT_LIMITS = { maxBytes: 4_096, timeoutMs: 5_000 };

const PROTOCOL = new PublishedProtocol();

export interface OwnPathsOptions {
  readonly clock: Clock;
  readonly registrations: Registrations;
  readonly service: (name: string) => Service | undefined;
  readonly addresses: (dataCentre: string | undefined) => AddressesResponse;
  readonly ready: () => boolean;
}

/** The paths that an entry answers itself. */
export class OwnPaths {
  readonly #options: OwnPathsOptions;

  constructor(options: OwnPathsOptions) {
    this.#options = options;
  }

  async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://entry");
    const path = url.pathname.slice(INTERNAL_PATH_ROOT.length);
    if (path === "addresses") {
      this.#addresses(url.searchParams, request, response);
      return;
    }
    if (path.startsWith("servers/")) {
      const id = decode(path.slice("servers/".length));
      await this.#server(id, { url, request, response });
      return;
    }
    request.resume();
    replyJson(response, { status: 404, body: { error: "unknown_path" } });
  }

  #addresses(
    query: URLSearchParams,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    request.resume();
    if (request.method !== "GET") {
      replyMethod(response, "GET");
      return;
    }
    if (!this.#options.ready()) {
      replyNotReady(response);
      return;
    }
    const service = query.get("service");
    if (service !== null && !this.#options.service(service)) {
      replyJson(response, { status: 404, body: { error: "unknown_service" } });
      return;
    }
    const dataCentre = query.get("data_centre") ?? undefined;
    replyJson(response, {
      status: 200,
      body: this.#options.addresses(dataCentre),
    });
  }

  async #server(
    id: string,
    exchange: {
      url: URL;
      request: IncomingMessage;
      response: ServerResponse;
    },
  ): Promise<void> {
    const { url, request, response } = exchange;
    if (request.method === "PUT") {
      const body = await readBody(request, ANNOUNCEMENT_LIMITS);
      if (body.isErr()) replyBodyFault(response, body.error);
      else this.#announce(id, body.value.head, response);
      return;
    }
    request.resume();
    if (request.method === "DELETE") {
      this.#leave(id, url.searchParams, response);
      return;
    }
    replyMethod(response, "PUT, DELETE");
  }

  #announce(id: string, body: Buffer, response: ServerResponse): void {
    const { service, registrations, clock } = this.#options;
    const json = parseJson(body);
    const name = serviceOf(json);
    const defaults = announcementDefaults(
      name === undefined ? undefined : service(name),
    );
    const server = parseAnnouncement(id, json, defaults);
    if (server.isErr()) {
      replyAnnouncementFault(response, server.error);
      return;
    }
    const { presence } = registrations;
    this.#finish(presence.announce(server.value, clock.now()), response);
  }

  #leave(id: string, query: URLSearchParams, response: ServerResponse): void {
    const { registrations, clock } = this.#options;
    const leave = parseLeave(id, query);
    if (leave.isErr()) {
      replyAnnouncementFault(response, leave.error);
      return;
    }
    const { presence } = registrations;
    this.#finish(presence.leave(leave.value, clock.now()), response);
  }

  #finish<T>(answer: ResultWithEffects<T>, response: ServerResponse): void {
    this.#options.registrations.carryOut(answer.effects);
    answer.result.match(
      (body) => {
        const status = body === undefined ? 204 : 200;
        replyJson(response, { status, body });
      },
      (fault) => replyAnnouncementFault(response, fault),
    );
  }
}

function decode(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return "";
  }
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    return undefined;
  }
}

function serviceOf(json: unknown): string | undefined {
  if (typeof json !== "object" || json === null) return undefined;
  const { service } = json as { service?: unknown };
  return typeof service === "string" ? service : undefined;
}

function replyAnnouncementFault(
  response: ServerResponse,
  fault: AnnouncementFault,
): void {
  const answer = refusalResponse(fault);
  if (answer.status === 503) response.setHeader("retry-after", "1");
  replyJson(response, answer);
}

function replyBodyFault(response: ServerResponse, fault: CallFault): void {
  replyFault(response, fault, PROTOCOL.faultAnswer(fault, ""));
}

function replyMethod(response: ServerResponse, allowed: string): void {
  response.setHeader("allow", allowed);
  replyJson(response, { status: 405, body: { error: "method_not_allowed" } });
}

function replyNotReady(response: ServerResponse): void {
  response.setHeader("retry-after", "1");
  replyJson(response, { status: 503, body: { error: "not_ready" } });
}
