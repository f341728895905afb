import { setTimeout as delay } from "node:timers/promises";
import { MAX_COMMAND_BYTES } from "#agreement";
import { type BackendServer, type Clock, isPossibleStart } from "#model";
import type { AnnouncementFault } from "#presence";
import {
  type Item,
  type ItemFault,
  isSetByPatch,
  type PutItems,
  type RegistryReply,
} from "#registry";
import type { ControlMetrics, InputCall, Logger } from "#telemetry";
import { AnnouncementLog } from "./announcement_log.ts";
import { excessBytes } from "./command_admission.ts";
import { MAX_CONFIGURATION_BYTES } from "./configuration_size.ts";
import type { ControlProcess } from "./control_process.ts";
import { recordsAtEntry } from "./known_records.ts";
import {
  faultTypeOf,
  isNotAdmitted,
  MAJORITY_TIMEOUT_MS,
  withTimeout,
} from "./majority_timeout.ts";
import { isLate, LATE_ORDER } from "./order_lifetime.ts";
import { type RecordReply, ServerLeaves } from "./server_leaves.ts";

/** Most items and faults named in a log line or a reply. */
const MAX_LISTED = 20;
/** Longest name or value in a log line or a reply, in characters. */
const MAX_TEXT_LENGTH = 120;

/** Wait before a change is checked again that the leader did not admit. */
const ADMISSION_RETRY_MS = 20;

/** No majority confirmed the request in time; it may take effect later. */
interface UnavailableReply {
  readonly type: "unavailable";
  readonly fault: string;
}

export type PutItemsReply =
  | { readonly type: "held"; readonly version: number }
  | { readonly type: "invalid"; readonly problems: readonly string[] }
  | UnavailableReply;

/** What became of a command with items. */
type SubmittedItems =
  | { readonly type: "applied"; readonly reply: RegistryReply }
  | { readonly type: "refused"; readonly problems: readonly string[] }
  | UnavailableReply;

export type ItemsReadReply =
  /** All who read one version get the same list, which is not changed. */
  | { readonly type: "items"; readonly items: readonly Item[] }
  | UnavailableReply;

/** The input names no server that can exist. */
interface ImpossibleReply {
  readonly type: "impossible";
  /** A field and what is wrong with it, each. */
  readonly problems: readonly string[];
}

export type AnnounceReply =
  | { readonly type: "accepted" }
  | { readonly type: "refused"; readonly fault: AnnouncementFault }
  | ImpossibleReply
  | UnavailableReply;

export type LeaveReply = RecordReply | ImpossibleReply;

/**
 * Handles requests about configuration items and announcements of backend
 * servers, and replies within the time that a caller waits.
 */
export class ControlRequests {
  readonly #control: ControlProcess;
  readonly #clock: Clock;
  readonly #logger: Logger;
  /** Logs and counts announcements, also those that cannot be decoded. */
  readonly announcements: AnnouncementLog;
  readonly #leaves: ServerLeaves;
  #listedItems:
    | { readonly version: number; readonly items: readonly Item[] }
    | undefined;

  constructor(options: {
    control: ControlProcess;
    clock: Clock;
    logger: Logger;
    /** Counts refused inputs; absent where nobody reads the metrics. */
    metrics?: Pick<ControlMetrics, "recordRefusedInput">;
  }) {
    this.#control = options.control;
    this.#clock = options.clock;
    this.#logger = options.logger;
    const { metrics = { recordRefusedInput: () => undefined } } = options;
    this.announcements = new AnnouncementLog({ ...options, metrics });
    const { announcements } = this;
    this.#leaves = new ServerLeaves({ ...options, announcements });
  }

  /** Changes items; accepted once a majority of control hosts has synced it. */
  async putItems(
    change: Pick<PutItems, "upserts" | "removals">,
  ): Promise<PutItemsReply> {
    const at = this.#wallTimeMs();
    const names = [...change.upserts, ...change.removals].slice(0, 8);
    const logFields = {
      items: names.map(({ kind, name, version }) => [
        kind,
        clip(name),
        version,
      ]),
      count: change.upserts.length + change.removals.length,
    };
    const refuse = (problems: readonly string[]) => {
      this.#logger.info("items refused", { ...logFields, problems });
      return { type: "invalid", problems } as const;
    };
    const unavailable = (fault: string) => {
      this.#logger.warn("items not confirmed", { ...logFields, fault });
      return { type: "unavailable", fault } as const;
    };
    const sourceBytes = change.upserts.reduce(
      (sum, { source }) => sum + source.length,
      0,
    );
    if (sourceBytes > MAX_COMMAND_BYTES) return refuse([tooLong(sourceBytes)]);
    const result = await this.#submitItems({
      type: "put_items",
      ...change,
      at,
    });
    if (result.type === "refused") return refuse(result.problems);
    if (result.type === "unavailable") return unavailable(result.fault);
    const { reply } = result;
    if (reply.type === "items_held") {
      const { version } = reply;
      this.#logger.info("items accepted", { ...logFields, version });
      return { type: "held", version };
    }
    if (reply.type === "items_invalid") {
      const { faults, omitted } = reply;
      return refuse(problemsOf(faults, faults.length + omitted));
    }
    return unavailable(reply.type);
  }

  /**
   * Submits a change that can be taken by the state that this host has applied. The
   * leader does not admit it if commands before it leave it no room, or drop what it
   * needs; they are applied here soon, unless they are lost with their leader.
   */
  async #submitItems(command: PutItems): Promise<SubmittedItems> {
    const retriesUntil = this.#clock.now() + MAJORITY_TIMEOUT_MS;
    for (;;) {
      if (this.#problemsOf(command).length > 0) {
        // By the newest state, as one that lags may lack what made room.
        const confirmed = await withTimeout(this.#control.confirmRead());
        if (!confirmed?.isOk()) {
          return { type: "unavailable", fault: faultTypeOf(confirmed) };
        }
        const problems = this.#problemsOf(command);
        if (problems.length > 0) return { type: "refused", problems };
      }
      const result = await withTimeout(this.#control.submit(command));
      if (result?.isOk()) return { type: "applied", reply: result.value };
      if (result?.isErr() && result.error.type === "command_too_large") {
        return { type: "refused", problems: [tooLong(result.error.bytes)] };
      }
      if (!isNotAdmitted(result) || this.#clock.now() >= retriesUntil) {
        return { type: "unavailable", fault: faultTypeOf(result) };
      }
      await delay(ADMISSION_RETRY_MS);
    }
  }

  /** Why a change can't be taken, by the state that this host has applied. */
  #problemsOf(change: Pick<PutItems, "upserts" | "removals">): string[] {
    const state = this.#control.registry.after([]);
    const dropped = state.droppedTargets(change);
    if (dropped.length > 0) return problemsOf(dropped, dropped.length);
    const found = excessBytes(state, change);
    if (found === undefined) return [];
    const expected = `at most ${MAX_CONFIGURATION_BYTES} bytes`;
    return [`configuration: expected ${expected}, found ${found}`];
  }

  /** Returns the current items, by a linearizable read. */
  async items(): Promise<ItemsReadReply> {
    const confirmed = await withTimeout(this.#control.confirmRead());
    if (confirmed?.isOk()) {
      return { type: "items", items: this.#currentItems() };
    }
    const fault = faultTypeOf(confirmed);
    this.#logger.warn("items not read", { fault });
    return { type: "unavailable", fault };
  }

  /** The items, listed once for all requests that read the same version. */
  #currentItems(): readonly Item[] {
    const { registry } = this.#control;
    const { version } = registry.configuration();
    if (this.#listedItems?.version !== version) {
      const items = registry.items().filter(isSetByPatch);
      this.#listedItems = { version, items };
    }
    return this.#listedItems.items;
  }

  /** Handles a backend server's announcement, or records that it is leaving. */
  async announce(server: BackendServer): Promise<AnnounceReply> {
    const impossible = this.#refuseFutureStart("heartbeat", server);
    if (impossible) return impossible;
    const { registrar } = this.#control;
    if (server.state === "leaving") {
      if (!this.#leaves.covering(server)) {
        const known = await this.#recordsOf(server);
        const fault = await registrar.checkLeaving(server, known);
        if (fault) return this.#refuseAnnouncement(server, fault);
      }
      const leaveReply = await this.leave(server, "heartbeat");
      return leaveReply.type === "recorded" ? { type: "accepted" } : leaveReply;
    }
    const former = registrar.find(server);
    const result = await registrar.announce(server);
    if (result.isOk()) {
      this.announcements.accepted(server, former);
      return { type: "accepted" };
    }
    return this.#refuseAnnouncement(server, result.error);
  }

  /**
   * The records of a server's id, also those of an entry unless one of the server's
   * service was announced to this host.
   */
  async #recordsOf({
    id,
    service,
  }: BackendServer): Promise<readonly BackendServer[]> {
    const own = this.#control.registrar.recordsOf(id);
    if (own.some((record) => record.service === service)) return own;
    return [...(await recordsAtEntry(this.#control, id)), ...own];
  }

  #refuseAnnouncement(
    server: BackendServer,
    fault: AnnouncementFault,
  ): AnnounceReply {
    const { id, service, incarnation, sequence, address, state } = server;
    this.announcements.refused({
      call: "heartbeat",
      reason: fault.type,
      message: "announcement not taken",
      server: id,
      incarnation,
      fields: { service, sequence, address, state, fault },
    });
    return { type: "refused", fault };
  }

  /**
   * Records a deregistration. One that names no start stands for the starts that are
   * known when it is carried out, so that an old one would end a server that has
   * started again since. Servers deregister on connections on which they have been
   * silent since their last heartbeat, so that only its arrival tells its age.
   */
  async deregister(
    server: {
      readonly id: string;
      readonly incarnation?: number | undefined;
    },
    arrivedAfter: number,
  ): Promise<LeaveReply> {
    const now = this.#clock.now();
    if (server.incarnation !== undefined || !isLate(arrivedAfter, now)) {
      return this.leave(server);
    }
    const ageMs = Math.round(now - arrivedAfter);
    this.#logger.warn("late deregistration refused", { id: server.id, ageMs });
    return { type: "unavailable", fault: LATE_ORDER };
  }

  /** Records a leave; replies once a majority of control hosts synced it. */
  async leave(
    server: {
      readonly id: string;
      readonly incarnation?: number | undefined;
    },
    call: InputCall = "deregistration",
  ): Promise<LeaveReply> {
    const impossible = this.#refuseFutureStart(call, server);
    return impossible ?? this.#leaves.record(server, call);
  }

  /**
   * Refuses a start in the future: the server's own heartbeats and later starts
   * would count as older than it, and a leave would cover them.
   */
  #refuseFutureStart(
    call: InputCall,
    { id, incarnation }: { id: string; incarnation?: number | undefined },
  ): ImpossibleReply | undefined {
    if (incarnation === undefined) return undefined;
    if (isPossibleStart({ incarnation }, this.#wallTimeMs())) return undefined;
    this.announcements.refused({
      call,
      reason: "future_start",
      message: `${call} names a start in the future`,
      server: id,
      incarnation,
    });
    return { type: "impossible", problems: ["born: lies in the future"] };
  }

  #wallTimeMs(): number {
    return Math.floor(this.#clock.wallTime());
  }
}

/** The problem of a change that the log can't take. */
function tooLong(bytes: number): string {
  return `change: expected at most ${MAX_COMMAND_BYTES} bytes in the log, found ${bytes}`;
}

/** Items and what is expected of them, bounded; `count` faults in all. */
function problemsOf(faults: readonly ItemFault[], count: number): string[] {
  const named = faults
    .slice(0, MAX_LISTED)
    .map(
      ({ kind, name, expected, found }) =>
        `${kind} ${clip(name)}: expected ${expected}, found ${clip(String(found))}`,
    );
  const omitted = count - named.length;
  return omitted > 0 ? [...named, `${omitted} further problems`] : named;
}

function clip(text: string): string {
  if (text.length <= MAX_TEXT_LENGTH) return text;
  return `${text.slice(0, MAX_TEXT_LENGTH)}… (${text.length} characters)`;
}
