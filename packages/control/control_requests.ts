import type { BackendServer, Clock } from "#model";
import type { AnnouncementFault } from "#presence";
import type { Item, ItemFault, PutItems } from "#registry";
import type { Logger } from "#telemetry";
import type { ControlProcess } from "./control_process.ts";

/**
 * Longest wait for a majority, in milliseconds. Callers give an answer one
 * second before they turn to another host.
 */
const ANSWER_WITHIN_MS = 850;

/** No majority confirmed it in time; it may or may not take effect later. */
interface Unavailable {
  readonly type: "unavailable";
  readonly fault: string;
}

export type ItemsReply =
  | { readonly type: "held"; readonly version: number }
  | { readonly type: "invalid"; readonly faults: readonly ItemFault[] }
  | Unavailable;

export type ItemsRead =
  | { readonly type: "items"; readonly items: readonly Item[] }
  | Unavailable;

export type AnnounceReply =
  | { readonly type: "accepted" }
  | { readonly type: "refused"; readonly fault: AnnouncementFault }
  | Unavailable;

export type LeaveReply = { readonly type: "recorded" } | Unavailable;

/** Configuration items and announcements, answered within a caller's wait. */
export class ControlRequests {
  readonly #control: ControlProcess;
  readonly #clock: Clock;
  readonly #logger: Logger;

  constructor(options: {
    control: ControlProcess;
    clock: Clock;
    logger: Logger;
  }) {
    this.#control = options.control;
    this.#clock = options.clock;
    this.#logger = options.logger;
  }

  /** Acknowledges a change once a majority of control hosts has synced it. */
  async putItems(
    change: Pick<PutItems, "upserts" | "removals">,
  ): Promise<ItemsReply> {
    const at = this.#epoch();
    const answer = await within(
      this.#control.submit({ type: "put_items", ...change, at }),
    );
    const reply = answer?.isOk() ? answer.value : undefined;
    const names = [...change.upserts, ...change.removals].slice(0, 8);
    const log = {
      items: names.map(({ kind, name, version }) => [kind, name, version]),
      count: change.upserts.length + change.removals.length,
    };
    if (reply?.type === "items_held") {
      const { version } = reply;
      this.#logger.info("items accepted", { ...log, version });
      return { type: "held", version };
    }
    if (reply?.type === "items_invalid") {
      const { faults } = reply;
      this.#logger.info("items refused", { ...log, faults });
      return { type: "invalid", faults };
    }
    const fault = faultOf(answer);
    this.#logger.warn("items not confirmed", { ...log, fault });
    return { type: "unavailable", fault };
  }

  /** The items that stand, by a linearizable read. */
  async items(): Promise<ItemsRead> {
    const confirmed = await within(this.#control.confirm());
    if (confirmed?.isOk()) {
      return { type: "items", items: this.#control.registry.items() };
    }
    const fault = faultOf(confirmed);
    this.#logger.warn("items not read", { fault });
    return { type: "unavailable", fault };
  }

  /** Takes a backend server's announcement; a leaving one is recorded. */
  async announce(server: BackendServer): Promise<AnnounceReply> {
    if (server.state === "leaving") {
      const left = await this.leave(server);
      return left.type === "recorded" ? { type: "accepted" } : left;
    }
    const { result } = this.#control.registrar.announce(server);
    if (result.isOk()) return { type: "accepted" };
    const { id, service, incarnation, sequence } = server;
    const fault = result.error;
    this.#logger.info("announcement not taken", {
      server: id,
      service,
      incarnation,
      sequence,
      fault,
    });
    return { type: "refused", fault };
  }

  /** Acknowledges a leave once a majority of control hosts has synced it. */
  async leave(server: {
    readonly id: string;
    readonly incarnation?: number | undefined;
  }): Promise<LeaveReply> {
    const { id } = server;
    // Without a known start, every incarnation up to the present one leaves.
    const incarnation =
      server.incarnation ??
      this.#control.registrar.incarnationOf(id) ??
      this.#epoch();
    if (this.#control.knowsLeaving(id, incarnation)) {
      return { type: "recorded" };
    }
    const servers = [{ id, incarnation }];
    const at = this.#epoch();
    const answer = await within(
      this.#control.submit({ type: "servers_leaving", servers, at }),
    );
    if (answer?.isOk()) {
      this.#logger.info("leave recorded", { server: id, incarnation });
      return { type: "recorded" };
    }
    const fault = faultOf(answer);
    this.#logger.warn("leave not confirmed", { server: id, fault });
    return { type: "unavailable", fault };
  }

  #epoch(): number {
    return Math.floor(this.#clock.wallTime());
  }
}

type Answer =
  | { isOk(): boolean; isErr(): boolean; error?: { type: string } }
  | undefined;

function faultOf(answer: Answer): string {
  return answer?.error?.type ?? "timeout";
}

/** The answer, or nothing if it takes too long. */
function within<T>(answer: Promise<T>): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => resolve(undefined), ANSWER_WITHIN_MS);
    answer.then((value) => {
      clearTimeout(timer);
      resolve(value);
    }, reject);
  });
}
