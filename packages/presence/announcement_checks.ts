import { err, ok, type Result } from "neverthrow";
import { type BackendServer, backendServerKey } from "#model";
import type { AnnouncementFault, Leave } from "./announcements.ts";
import type { ServerTable } from "./server_table.ts";
import type { PresenceLimits } from "./timings.ts";

/** Decides which announcements are refused, and why. */
export class AnnouncementChecks {
  /** Whether the view is complete enough to accept announcements. */
  ready = false;
  /** The services of the document. */
  services: ReadonlySet<string> = new Set();
  readonly #table: ServerTable;
  readonly #limits: PresenceLimits;

  constructor(table: ServerTable, limits: PresenceLimits) {
    this.#table = table;
    this.#limits = limits;
  }

  /** Why an announcement is refused, if it is. */
  refusal(server: BackendServer): AnnouncementFault | undefined {
    const { service, incarnation, sequence } = server;
    const key = backendServerKey(server);
    if (!this.ready) return { type: "not_ready" };
    if (!this.services.has(service)) {
      return { type: "unknown_service", service };
    }
    const left = this.#table.tombstone(key)?.incarnation ?? -1;
    if (left > incarnation) return { type: "older_incarnation", known: left };
    if (left === incarnation) {
      return server.state === "leaving"
        ? undefined
        : { type: "already_leaving", incarnation };
    }
    const known = this.#table.best(key)?.server;
    if (!known) return this.#overLimit(service);
    if (known.incarnation > incarnation) {
      return { type: "older_incarnation", known: known.incarnation };
    }
    if (known.incarnation === incarnation && known.sequence > sequence) {
      return { type: "older_sequence", known: known.sequence };
    }
    return undefined;
  }

  #overLimit(service: string): AnnouncementFault | undefined {
    const { servers, serversPerService } = this.#limits;
    if (this.#table.size >= servers) {
      return { type: "too_many_servers", limit: servers };
    }
    if (this.#table.sizeOf(service) >= serversPerService) {
      return { type: "too_many_servers", limit: serversPerService };
    }
    return undefined;
  }

  /** The service of a server that leaves. */
  serviceOf(leave: Leave): Result<string, AnnouncementFault> {
    if (!this.ready) return err({ type: "not_ready" });
    const { id, service } = leave;
    if (service !== undefined) {
      if (this.services.has(service)) return ok(service);
      return err({ type: "unknown_service", service });
    }
    const [found, ...more] = this.#table.servicesOf(id);
    if (found === undefined) return err({ type: "unknown_server", id });
    if (more.length === 0) return ok(found);
    const problems = [`service: ${id} is a server of several services`];
    return err({ type: "malformed", problems });
  }

  /** Why no further leave can be remembered, if so. */
  tombstoneRefusal(): AnnouncementFault | undefined {
    const limit = this.#limits.tombstones;
    if (this.#table.tombstoneCount < limit) return undefined;
    return { type: "too_many_servers", limit };
  }
}
