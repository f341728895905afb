import type { ConsensusStatus, MemberChange, ReplicatedLog } from "#agreement";
import type { Clock } from "#model";
import { type Logger, OwnTasks } from "#telemetry";
import { MembershipPlanner } from "./membership_planner.ts";

/**
 * Time after which a change that shows no effect no longer counts as submitted, in
 * milliseconds. A leader appends or refuses a change within one turn of the event
 * loop, unless its disk stalls.
 */
const SUBMISSION_TIMEOUT_MS = 1_000;

type MemberLog = Pick<
  ReplicatedLog<never, unknown>,
  "status" | "changeMembers"
>;

/** A change that the log may not have handled yet. */
interface Submission {
  readonly term: number;
  readonly membershipIndex: number;
  readonly at: number;
}

/**
 * Makes the leader's automatic changes of the membership, one at a time; used where
 * control hosts are discovered at run time. It keeps no plan: each change is decided
 * from the status of the log at that moment.
 */
export class MembershipManager {
  readonly #log: MemberLog;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #planner = new MembershipPlanner();
  readonly #tasks: OwnTasks;
  #submission: Submission | undefined;
  #loggedMembers = "";

  constructor(options: { log: MemberLog; clock: Clock; logger: Logger }) {
    this.#tasks = new OwnTasks(options);
    this.#log = options.log;
    this.#clock = options.clock;
    this.#logger = options.logger;
  }

  /** Makes the change that is due; to be called about ten times a second. */
  tick(): void {
    this.#tasks.run("membership", () => this.#makeNextChange());
  }

  #makeNextChange(): void {
    const status = this.#log.status();
    this.#logMembers(status);
    const now = this.#clock.now();
    const change = this.#planner.nextChange(status, now);
    if (!change || this.#isSubmitted(status, now)) return;
    const { term, membershipIndex } = status;
    const submission = { term, membershipIndex, at: now };
    this.#submission = submission;
    this.#tasks.run("membership", () => this.#submit(change, submission));
  }

  /** Whether the log has yet to handle a change that was submitted before. */
  #isSubmitted(status: ConsensusStatus, now: number): boolean {
    const submission = this.#submission;
    return (
      submission?.term === status.term &&
      submission.membershipIndex === status.membershipIndex &&
      now - submission.at < SUBMISSION_TIMEOUT_MS
    );
  }

  async #submit(change: MemberChange, submission: Submission): Promise<void> {
    const outcome = await this.#log.changeMembers(change);
    if (this.#submission === submission) this.#submission = undefined;
    outcome.match(
      (index) => this.#logger.info("membership changed", { ...change, index }),
      (fault) =>
        this.#logger.warn("membership not changed", { ...change, fault }),
    );
    // An admission takes several changes; the next one may be due already.
    if (outcome.isOk()) this.tick();
  }

  /**
   * Logs what changes of the membership are decided from, each time it changes on the
   * leader: the members, the data folders that may be added, and who replies.
   */
  #logMembers({ role, term, membership, announced, peers }: ConsensusStatus) {
    if (role !== "leader") {
      this.#loggedMembers = "";
      return;
    }
    const silent = peers.flatMap(({ live, member }) => (live ? [] : [member]));
    const members = { ...membership, announced, silent };
    const text = JSON.stringify(members);
    if (text === this.#loggedMembers) return;
    this.#loggedMembers = text;
    this.#logger.info("members seen", { term, ...members });
  }
}
