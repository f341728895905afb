import { err, ok, type Result } from "neverthrow";
import { type BackendServer, backendServerKey } from "#model";
import type { AnnouncementFault, LeaveRequest } from "./announcements.ts";
import { MAX_SEQUENCE_STEP } from "./plausibility.ts";
import { RefusedAnnouncements } from "./refused_announcements.ts";
import type { ServerTable } from "./server_table.ts";
import { LEASE_MS, type PresenceLimits } from "./timings.ts";

/** Checks requests of backend servers and gives the reason of a refusal. */
export class AnnouncementChecks {
  /** Whether enough lists are known to accept announcements. */
  ready = false;
  /** The configured services. */
  services: ReadonlySet<string> = new Set();
  readonly #table: ServerTable;
  readonly #limits: PresenceLimits;
  /** Present where other programs may announce servers that are not theirs. */
  readonly #refused: RefusedAnnouncements | undefined;

  constructor(
    table: ServerTable,
    options: { limits: PresenceLimits; untrusted: boolean },
  ) {
    this.#table = table;
    this.#limits = options.limits;
    if (options.untrusted) this.#refused = new RefusedAnnouncements();
  }

  /** The reason to refuse an announcement, or undefined. */
  check(server: BackendServer, now: number): AnnouncementFault | undefined {
    const { service, incarnation } = server;
    const key = backendServerKey(server);
    if (!this.ready) return { type: "not_ready" };
    if (!this.services.has(service)) {
      return { type: "unknown_service", service };
    }
    const leftIncarnation = this.#table.tombstone(key)?.incarnation ?? -1;
    if (leftIncarnation > incarnation)
      return { type: "older_incarnation", known: leftIncarnation };
    if (leftIncarnation === incarnation) {
      return server.state === "leaving"
        ? undefined
        : { type: "already_leaving", incarnation };
    }
    const record = this.#table.current(key);
    if (!record) return this.#checkLimits(service);
    const fault = this.#checkOrder(record.server, server);
    if (!fault || !this.#refused) return fault;
    const silentMs = now - (record.expiresAt - LEASE_MS);
    const about = { known: record.server, silentMs, now };
    return this.#refused.isOwn(server, about) ? undefined : fault;
  }

  #checkOrder(
    known: BackendServer,
    { incarnation, sequence }: BackendServer,
  ): AnnouncementFault | undefined {
    if (known.incarnation > incarnation) {
      return { type: "older_incarnation", known: known.incarnation };
    }
    if (known.incarnation < incarnation) return undefined;
    if (known.sequence > sequence) {
      return { type: "older_sequence", known: known.sequence };
    }
    return this.#refused && sequence - known.sequence > MAX_SEQUENCE_STEP
      ? { type: "implausible_sequence", known: known.sequence }
      : undefined;
  }

  #checkLimits(service: string): AnnouncementFault | undefined {
    const { servers, serversPerService } = this.#limits;
    if (this.#table.size >= servers) {
      return { type: "too_many_servers", limit: servers };
    }
    if (this.#table.sizeOf(service) >= serversPerService) {
      return { type: "too_many_servers", limit: serversPerService };
    }
    return undefined;
  }

  /** The service of a leaving server, found by its id if none is given. */
  serviceOf(leave: LeaveRequest): Result<string, AnnouncementFault> {
    if (!this.ready) return err({ type: "not_ready" });
    const { id, service } = leave;
    if (service !== undefined) {
      if (this.services.has(service)) return ok(service);
      return err({ type: "unknown_service", service });
    }
    const [found, ...others] = this.#table.servicesOf(id);
    if (found === undefined) return err({ type: "unknown_server", id });
    if (others.length === 0) return ok(found);
    const problems = [`service: ${id} is a server of several services`];
    return err({ type: "malformed", problems });
  }

  /** The reason to refuse another leave, or undefined. */
  checkTombstoneLimit(): AnnouncementFault | undefined {
    const limit = this.#limits.tombstones;
    if (this.#table.tombstoneCount < limit) return undefined;
    return { type: "too_many_servers", limit };
  }
}
