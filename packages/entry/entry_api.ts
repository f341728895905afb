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

export interface EntryApiOptions {
  readonly clock: Clock;
  readonly registrations: Registrations;
  readonly service: (name: string) => Service | undefined;
  readonly addresses: (dataCentre: string | undefined) => AddressesResponse;
  readonly ready: () => boolean;
}

/**
 * HTTP API of the entry itself, at paths below `/.mangobank/`: address lookup
 * for callers, and registration of backend servers.
 */
export class EntryApi {
  readonly #options: EntryApiOptions;

  constructor(options: EntryApiOptions) {
    this.#options = options;
  }

  async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://entry");
    const path = url.pathname.slice(INTERNAL_PATH_ROOT.length);
    if (path === "addresses") {
      this.#handleAddresses(url.searchParams, request, response);
      return;
    }
    if (path.startsWith("servers/")) {
      const id = decodePathSegment(path.slice("servers/".length));
      await this.#handleServer(id, { url, request, response });
      return;
    }
    request.resume();
    replyJson(response, { status: 404, body: { error: "unknown_path" } });
  }

  #handleAddresses(
    query: URLSearchParams,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    request.resume();
    if (request.method !== "GET") {
      replyMethodNotAllowed(response, "GET");
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

  async #handleServer(
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
      else this.#handleAnnouncement(id, body.value.head, response);
      return;
    }
    request.resume();
    if (request.method === "DELETE") {
      this.#handleLeave(id, url.searchParams, response);
      return;
    }
    replyMethodNotAllowed(response, "PUT, DELETE");
  }

  #handleAnnouncement(
    id: string,
    body: Buffer,
    response: ServerResponse,
  ): void {
    const { service, registrations, clock } = this.#options;
    const json = parseJson(body);
    const name = serviceNameOf(json);
    const defaults = announcementDefaults(
      name === undefined ? undefined : service(name),
    );
    const server = parseAnnouncement(id, json, defaults);
    if (server.isErr()) {
      replyAnnouncementFault(response, server.error);
      return;
    }
    const { presence } = registrations;
    this.#respond(presence.announce(server.value, clock.now()), response);
  }

  #handleLeave(
    id: string,
    query: URLSearchParams,
    response: ServerResponse,
  ): void {
    const { registrations, clock } = this.#options;
    const leave = parseLeave(id, query);
    if (leave.isErr()) {
      replyAnnouncementFault(response, leave.error);
      return;
    }
    const { presence } = registrations;
    this.#respond(presence.leave(leave.value, clock.now()), response);
  }

  #respond<T>(answer: ResultWithEffects<T>, response: ServerResponse): void {
    this.#options.registrations.execute(answer.effects);
    answer.result.match(
      (body) => {
        const status = body === undefined ? 204 : 200;
        replyJson(response, { status, body });
      },
      (fault) => replyAnnouncementFault(response, fault),
    );
  }
}

function decodePathSegment(text: string): string {
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

function serviceNameOf(json: unknown): string | undefined {
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
  replyFault(response, fault, PROTOCOL.errorResponse(fault, ""));
}

function replyMethodNotAllowed(
  response: ServerResponse,
  allowed: string,
): void {
  response.setHeader("allow", allowed);
  replyJson(response, { status: 405, body: { error: "method_not_allowed" } });
}

function replyNotReady(response: ServerResponse): void {
  response.setHeader("retry-after", "1");
  replyJson(response, { status: 503, body: { error: "not_ready" } });
}
