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
  readonly log: MemberLog;
  /** Waits for a time, or until the signal is aborted; default: with a timer. */
  readonly wait?: (ms: number, signal: AbortSignal) => Promise<void>;
  /** Aborted when the member is closed for another reason. */
  readonly signal: AbortSignal;
  readonly logger: Logger;
}

/**
 * Removes this member from the log, so that closing it costs no vote; returns once it
 * is none. A member that was added again as a learner must not close either: the leader
 * may make it a voter as long as it counts as live. The leader refuses the removal while the voters that would remain have
 * no live majority, as when other hosts are lost: closed then, this member would leave
 * the log without a leader for good.
 */
export async function leaveMembership(options: LeaveOptions): Promise<void> {
  const { log, wait = abortableDelay, signal, logger } = options;
  const member = log.status().self;
  logger.info("member leaves", { member });
  let refusal = "";
  while (!signal.aborted && isMember(log)) {
    const outcome = await log.changeMembers({ type: "remove", member });
    if (outcome.isOk()) continue;
    const { type } = outcome.error;
    if (type === "unknown_member") return;
    if (type !== refusal) {
      refusal = type;
      logger.warn("member not removed yet", { member, fault: outcome.error });
    }
    await wait(RETRY_MS, signal);
  }
}

function isMember(log: MemberLog): boolean {
  const { self, membership } = log.status();
  return [...membership.voters, ...membership.learners].includes(self);
}
