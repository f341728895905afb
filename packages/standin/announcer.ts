import { type Agent, request } from "node:http";
import type { Address } from "#model";

/** What a server says of itself; the fields are those of the protocol. */
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

/** An entry's answer; status 0 where there was none. */
export interface AnnouncementReply {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

export interface AnnouncerOptions {
  readonly id: string;
  /** Entries to choose from. */
  readonly entries: () => readonly Address[];
  /** Entries to keep registered with at the same time. */
  readonly copies: number;
  readonly agent: Agent;
  /** The next announcement, with a higher sequence than the one before. */
  readonly next: () => AnnouncementBody;
  /** True while the server is frozen. */
  readonly paused: () => boolean;
  /** Sees every answer. */
  readonly replied?: (reply: AnnouncementReply) => void;
}

const RETRY_MS = 250;
const TIMEOUT_MS = 1_000;

/** Registers a server with entries and renews its leases. */
export class Announcer {
  readonly #options: AnnouncerOptions;
  readonly #channels: Channel[] = [];

  constructor(options: AnnouncerOptions) {
    this.#options = options;
  }

  start(): void {
    for (let index = 0; index < this.#options.copies; index++) {
      const channel = new Channel(this.#options, index);
      this.#channels.push(channel);
      void channel.announce();
    }
  }

  /** Announces a change at once and does not wait for the next renewal. */
  async announceNow(): Promise<void> {
    await Promise.all(this.#channels.map((channel) => channel.announce()));
  }

  stop(): void {
    for (const channel of this.#channels) channel.stop();
    this.#channels.length = 0;
  }

  /** Tells an entry of each channel, or another one, that the server leaves. */
  async leave(incarnation: number, service: string): Promise<boolean> {
    const { id } = this.#options;
    const path =
      `/.mangobank/servers/${encodeURIComponent(id)}` +
      `?incarnation=${incarnation}&service=${encodeURIComponent(service)}`;
    const channels = [...this.#channels];
    this.stop();
    const told = await Promise.all(
      channels.map(async (channel) => {
        for (const entry of channel.candidates()) {
          const { agent } = this.#options;
          const call = { entry, method: "DELETE", path, agent };
          if ((await exchange(call)).status === 204) return true;
        }
        return false;
      }),
    );
    return told.includes(true);
  }
}

/** The lease of the server at one entry; moves on when that one fails. */
class Channel {
  readonly #options: AnnouncerOptions;
  #index: number;
  #timer: NodeJS.Timeout | undefined;
  #stopped = false;
  #busy = false;
  #again = false;

  constructor(options: AnnouncerOptions, index: number) {
    this.#options = options;
    this.#index = index;
  }

  candidates(): Address[] {
    const entries = this.#options.entries();
    const first = this.#index % Math.max(1, entries.length);
    return [...entries.slice(first), ...entries.slice(0, first)];
  }

  /** One announcement at a time, so that none overtakes another. */
  async announce(): Promise<void> {
    if (this.#busy) {
      this.#again = true;
      return;
    }
    this.#busy = true;
    clearTimeout(this.#timer);
    const wait = await this.#exchange();
    this.#busy = false;
    if (this.#stopped) return;
    const delay = this.#again ? 0 : wait;
    this.#again = false;
    this.#timer = setTimeout(() => void this.announce(), delay);
  }

  /** Announces once and returns the time until the next announcement. */
  async #exchange(): Promise<number> {
    const { id, agent, next, replied, paused } = this.#options;
    const [entry] = this.candidates();
    if (this.#stopped || !entry || paused()) return RETRY_MS;
    const path = `/.mangobank/servers/${encodeURIComponent(id)}`;
    const call = { entry, method: "PUT", path, agent, body: next() };
    const reply = await exchange(call);
    replied?.(reply);
    const { renew_ms } = reply.body;
    if (reply.status === 200 && typeof renew_ms === "number") return renew_ms;
    this.#index++;
    return RETRY_MS;
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }
}

/** One request to an entry; never throws. */
function exchange(call: {
  entry: Address;
  method: string;
  path: string;
  agent: Agent;
  body?: unknown;
}): Promise<AnnouncementReply> {
  const { entry, method, path, agent, body } = call;
  return new Promise((resolve) => {
    const failed = () => resolve({ status: 0, body: {} });
    const { host, port } = entry;
    const headers = body ? { "content-type": "application/json" } : {};
    const sent = request(
      { host, port, method, path, agent, headers, timeout: TIMEOUT_MS },
      (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("error", failed);
        response.on("end", () =>
          resolve({
            status: response.statusCode ?? 0,
            body: parse(Buffer.concat(chunks).toString()),
          }),
        );
      },
    );
    sent.on("timeout", () => sent.destroy());
    sent.on("error", failed);
    sent.end(body ? JSON.stringify(body) : undefined);
  });
}

function parse(text: string): Record<string, unknown> {
  try {
    const value = JSON.parse(text);
    return typeof value === "object" && value !== null ? value : {};
  } catch {
    return {};
  }
}
