import type { ReplicatedLog } from "#agreement";
import type { Logger } from "#telemetry";
import { abortableDelay } from "./abortable_delay.ts";

/** Wait before a refused removal is requested again. */
const RETRY_MS = 400;

type MemberLog = Pick<
  ReplicatedLog<never, unknown>,
  "status" | "changeMembers"
>;

export interface LeaveOptions {
  /**
   * The member that is open at present; undefined while it is closed, as when its disk
   * is full, or not open yet. The next one has the same identity.
   */
  readonly openLog: () => MemberLog | undefined;
  /** Waits for a time, or until the signal is aborted; default: with a timer. */
  readonly wait?: (ms: number, signal: AbortSignal) => Promise<void>;
  /** Aborted when the member is closed for another reason. */
  readonly signal: AbortSignal;
  readonly logger: Logger;
}

/**
 * Removes this member from the log, so that closing it costs no vote; returns once it
 * is no member. The leader refuses the removal while the voters that would remain have
 * no live majority, as when other hosts are lost: closed then, this member would leave
 * the log without a leader for good. A member that was added again as a learner must not
 * close either, as the leader may promote it while it still counts as live.
 */
export async function leaveMembership(options: LeaveOptions): Promise<void> {
  const { openLog, wait = abortableDelay, signal, logger } = options;
  logger.info("member leaves");
  let refusal = "";
  while (!signal.aborted) {
    const log = openLog();
    if (log) {
      const { self: member, membership } = log.status();
      const { voters, learners } = membership;
      if (![...voters, ...learners].includes(member)) return;
      const outcome = await log.changeMembers({ type: "remove", member });
      if (outcome.isOk()) continue;
      const fault = outcome.error;
      if (fault.type === "unknown_member") return;
      if (fault.type !== refusal)
        logger.warn("member not removed yet", { member, fault });
      refusal = fault.type;
    }
    await wait(RETRY_MS, signal);
  }
}
