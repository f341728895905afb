import { type Agent, request } from "node:http";
import type { Address } from "#model";

/** JSON body of an announcement, with the field names of the protocol. */
export interface AnnouncementBody {
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly data_centre: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly state: "ready" | "unhealthy" | "leaving";
  readonly slots: number;
  readonly connections: number;
  readonly in_flight: number;
  readonly started_ms_ago: number;
}

/** An entry's response to an announcement; status 0 if none arrived. */
export interface AnnouncementReply {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

export interface AnnouncerOptions {
  readonly id: string;
  /** All entries that may be announced to. */
  readonly entries: () => readonly Address[];
  /** Number of entries to stay registered with at the same time. */
  readonly registrations: number;
  readonly agent: Agent;
  /** Builds the next announcement, with a higher sequence than the last one. */
  readonly nextAnnouncement: () => AnnouncementBody;
  /** Whether announcements are suspended, as while the server is frozen. */
  readonly paused: () => boolean;
  /** Called with the response to each announcement. */
  readonly onReply?: (reply: AnnouncementReply) => void;
}

const RETRY_DELAY_MS = 250;
const REQUEST_TIMEOUT_MS = 1_000;

/** Registers a backend server with entries and renews its leases. */
export class Announcer {
  readonly #options: AnnouncerOptions;
  readonly #renewers: LeaseRenewer[] = [];

  constructor(options: AnnouncerOptions) {
    this.#options = options;
  }

  start(): void {
    for (let index = 0; index < this.#options.registrations; index++) {
      const renewer = new LeaseRenewer(this.#options, index);
      this.#renewers.push(renewer);
      void renewer.announce();
    }
  }

  /** Announces a change now instead of with the next renewal. */
  async announceNow(): Promise<void> {
    await Promise.all(this.#renewers.map((renewer) => renewer.announce()));
  }

  stop(): void {
    for (const renewer of this.#renewers) renewer.stop();
    this.#renewers.length = 0;
  }

  /**
   * Ends the leases. Each lease tries the entries in its order until one
   * confirms. Returns whether any entry confirmed the leave.
   */
  async leave(incarnation: number, service: string): Promise<boolean> {
    const { id } = this.#options;
    const path =
      `/.mangobank/servers/${encodeURIComponent(id)}` +
      `?incarnation=${incarnation}&service=${encodeURIComponent(service)}`;
    const renewers = [...this.#renewers];
    this.stop();
    const confirmed = await Promise.all(
      renewers.map(async (renewer) => {
        for (const entry of renewer.entriesInOrder()) {
          const { agent } = this.#options;
          const leave = { entry, method: "DELETE", path, agent };
          if ((await sendRequest(leave)).status === 204) return true;
        }
        return false;
      }),
    );
    return confirmed.includes(true);
  }
}

/** Keeps one lease at one entry; tries the next entry after a failure. */
class LeaseRenewer {
  readonly #options: AnnouncerOptions;
  /** Index of the entry to use; grows with each failure. */
  #index: number;
  #timer: NodeJS.Timeout | undefined;
  #stopped = false;
  #announcing = false;
  #announceAgain = false;

  constructor(options: AnnouncerOptions, index: number) {
    this.#options = options;
    this.#index = index;
  }

  /** All entries, beginning with the one that holds the lease. */
  entriesInOrder(): Address[] {
    const entries = this.#options.entries();
    const first = this.#index % Math.max(1, entries.length);
    return [...entries.slice(first), ...entries.slice(0, first)];
  }

  /**
   * Announces now and schedules the renewal. Only one announcement is under way
   * at a time, so that none overtakes another.
   */
  async announce(): Promise<void> {
    if (this.#announcing) {
      this.#announceAgain = true;
      return;
    }
    this.#announcing = true;
    clearTimeout(this.#timer);
    const renewInMs = await this.#sendAnnouncement();
    this.#announcing = false;
    if (this.#stopped) return;
    const delayMs = this.#announceAgain ? 0 : renewInMs;
    this.#announceAgain = false;
    this.#timer = setTimeout(() => void this.announce(), delayMs);
  }

  /** Announces once; returns the milliseconds until the next announcement. */
  async #sendAnnouncement(): Promise<number> {
    const { id, agent, nextAnnouncement, onReply, paused } = this.#options;
    const [entry] = this.entriesInOrder();
    if (this.#stopped || !entry || paused()) return RETRY_DELAY_MS;
    const path = `/.mangobank/servers/${encodeURIComponent(id)}`;
    const put = { entry, method: "PUT", path, agent, body: nextAnnouncement() };
    const reply = await sendRequest(put);
    onReply?.(reply);
    const { renew_ms } = reply.body;
    if (reply.status === 200 && typeof renew_ms === "number") return renew_ms;
    this.#index++;
    return RETRY_DELAY_MS;
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }
}

/** Sends one request to an entry; resolves with status 0 on any failure. */
function sendRequest(options: {
  entry: Address;
  method: string;
  path: string;
  agent: Agent;
  body?: unknown;
}): Promise<AnnouncementReply> {
  const { entry, method, path, agent, body } = options;
  return new Promise((resolve) => {
    const fail = () => resolve({ status: 0, body: {} });
    const { host, port } = entry;
    const headers = body ? { "content-type": "application/json" } : {};
    const outgoing = request(
      { host, port, method, path, agent, headers, timeout: REQUEST_TIMEOUT_MS },
      (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("error", fail);
        response.on("end", () =>
          resolve({
            status: response.statusCode ?? 0,
            body: parseObject(Buffer.concat(chunks).toString()),
          }),
        );
      },
    );
    outgoing.on("timeout", () => outgoing.destroy());
    outgoing.on("error", fail);
    outgoing.end(body ? JSON.stringify(body) : undefined);
  });
}

/** The JSON object in a text; empty for any other text. */
function parseObject(text: string): Record<string, unknown> {
  try {
    const value = JSON.parse(text);
    return typeof value === "object" && value !== null ? value : {};
  } catch {
    return {};
  }
}
