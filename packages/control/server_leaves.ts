import { err } from "neverthrow";
import {
  type BackendServer,
  type Clock,
  isPossibleLeave,
  type LeavingServer,
} from "#model";
import type { InputCall, Logger } from "#telemetry";
import type { AnnouncementLog } from "./announcement_log.ts";
import type { ControlProcess } from "./control_process.ts";
import { recordsAtEntry } from "./known_records.ts";
import { hasRoomForLeave } from "./leave_room.ts";
import { faultTypeOf, isNotAdmitted, withTimeout } from "./majority_timeout.ts";

/** What became of a leave; one that is not recorded may take effect later. */
export type RecordReply =
  | { readonly type: "recorded" }
  | { readonly type: "unavailable"; readonly fault: string };

/** Records leaves of backend servers in the replicated state. */
export class ServerLeaves {
  readonly #control: ControlProcess;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #announcements: AnnouncementLog;

  constructor(options: {
    control: ControlProcess;
    clock: Clock;
    logger: Logger;
    announcements: AnnouncementLog;
  }) {
    this.#control = options.control;
    this.#clock = options.clock;
    this.#logger = options.logger;
    this.#announcements = options.announcements;
  }

  /** Records a leave; replies once a majority of control hosts synced it. */
  async record(
    server: {
      readonly id: string;
      readonly incarnation?: number | undefined;
    },
    call: InputCall,
  ): Promise<RecordReply> {
    const { id } = server;
    const incarnation = await this.#coveredStart(server);
    const recorded = this.covering({ id, incarnation });
    if (recorded && !isPossibleLeave(recorded)) {
      return this.#leaveInLists(id, incarnation);
    }
    if (recorded) {
      this.#announcements.refused({
        call,
        reason: "already_recorded",
        message: "leave was recorded before",
        server: id,
        incarnation,
      });
      return { type: "recorded" };
    }
    const at = this.#wallTimeMs();
    // A draining heartbeat gets here only with proof that it is its server's.
    const isProven = call === "heartbeat";
    const result = await this.#submit({ id, incarnation, at }, isProven);
    if (isNotAdmitted(result)) return this.#refuse({ id, incarnation }, call);
    if (result?.isOk()) {
      const isNamed = server.incarnation !== undefined;
      this.#announcements.leaveRecorded({ id, incarnation, isNamed });
      return { type: "recorded" };
    }
    const fault = faultTypeOf(result);
    this.#logger.warn("leave not confirmed", { server: id, fault });
    return { type: "unavailable", fault };
  }

  /** The leave in the replicated state that covers this one. */
  covering(leave: Omit<LeavingServer, "at">): LeavingServer | undefined {
    const { leaving } = this.#control.registry.configuration();
    return leaving.find(
      ({ id, incarnation }) =>
        id === leave.id && incarnation >= leave.incarnation,
    );
  }

  /**
   * The newest start that a leave covers. Without a start, or with one ahead of this
   * host's clock, these are the starts that are known, as a server that starts again
   * must be used. This host knows only what was announced to it.
   */
  async #coveredStart(leave: {
    readonly id: string;
    readonly incarnation?: number | undefined;
  }): Promise<number> {
    const { id, incarnation } = leave;
    const now = this.#wallTimeMs();
    if (incarnation !== undefined && incarnation <= now) return incarnation;
    const known = [
      ...this.#control.registrar.recordsOf(id),
      ...(await recordsAtEntry(this.#control, id)),
    ];
    if (incarnation !== undefined) {
      return Math.min(incarnation, Math.max(newestOf(known) ?? now, now));
    }
    const { leaving } = this.#control.registry.configuration();
    const left = leaving.find((server) => server.id === id);
    const isUsable = left !== undefined && isPossibleLeave(left);
    return newestOf(known) ?? (isUsable ? left.incarnation : now);
  }

  /**
   * Submits a leave that has room. The leader decides before it logs the leave: hosts
   * of an earlier build record each leave of the log, and all hosts must have equal
   * states. Whether the server is known is asked only if that decides.
   */
  async #submit(leave: LeavingServer, isProven: boolean) {
    const { id, incarnation, at } = leave;
    const servers = [{ id, incarnation }];
    for (const isKnown of isProven ? [true] : [false, true]) {
      if (isKnown && !isProven && !(await this.#isKnown(id))) break;
      const configuration = this.#control.registry.configuration();
      if (!hasRoomForLeave(configuration, leave, isKnown)) continue;
      const result = await withTimeout(
        this.#control.submit({ type: "servers_leaving", servers, isKnown, at }),
      );
      if (!isNotAdmitted(result)) return result;
    }
    return err({ type: "not_admitted" } as const);
  }

  async #isKnown(id: string): Promise<boolean> {
    if (this.#control.registrar.recordsOf(id).length > 0) return true;
    return (await recordsAtEntry(this.#control, id)).length > 0;
  }

  /** Refuses a leave without room; connected entries learn of it nevertheless. */
  #refuse(
    server: { readonly id: string; readonly incarnation: number },
    call: InputCall,
  ): RecordReply {
    const { id, incarnation } = server;
    this.#control.registrar.leave(server);
    const reason = "too_many_leaves";
    this.#announcements.refused({
      call,
      reason,
      message: "leave not recorded for want of room",
      server: id,
      incarnation,
    });
    return { type: "unavailable", fault: reason };
  }

  /**
   * Tells the connected entries of a leave that the replicated state cannot hold:
   * an earlier build has recorded an impossible one for the id, and replacing it
   * would make hosts of the two builds differ. It is not acknowledged, as entries
   * that are not connected do not learn of it.
   */
  #leaveInLists(id: string, incarnation: number): RecordReply {
    this.#control.registrar.leave({ id, incarnation });
    const fault = "impossible_leave_recorded";
    this.#logger.warn("leave not confirmed", { server: id, fault });
    return { type: "unavailable", fault };
  }

  #wallTimeMs(): number {
    return Math.floor(this.#clock.wallTime());
  }
}

/** The newest incarnation of the records; undefined if there is none. */
function newestOf(records: readonly BackendServer[]): number | undefined {
  const incarnations = records.map(({ incarnation }) => incarnation);
  return incarnations.length > 0 ? Math.max(...incarnations) : undefined;
}
