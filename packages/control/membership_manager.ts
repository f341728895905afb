import type { ConsensusStatus, ReplicatedLog } from "#agreement";
import type { Clock } from "#model";
import { type Logger, OwnTasks } from "#telemetry";
import {
  MembershipPlanner,
  type MembershipStep,
} from "./membership_planner.ts";

type MemberLog = Pick<
  ReplicatedLog<never, unknown>,
  "status" | "changeMembers" | "replaceMember"
>;

/**
 * Makes the leader's automatic changes of the membership, one at a time; used
 * where control hosts are discovered at run time.
 */
export class MembershipManager {
  readonly #log: MemberLog;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #planner = new MembershipPlanner();
  readonly #tasks: OwnTasks;
  #isChanging = false;
  #loggedMembers = "";

  constructor(options: { log: MemberLog; clock: Clock; logger: Logger }) {
    this.#tasks = new OwnTasks(options);
    this.#log = options.log;
    this.#clock = options.clock;
    this.#logger = options.logger;
  }

  tick(): void {
    this.#tasks.run("membership", () => this.#makeNextStep());
  }

  async #makeNextStep(): Promise<void> {
    const status = this.#log.status();
    this.#logMembers(status);
    const step = this.#planner.nextStep(status, this.#clock.now());
    if (this.#isChanging || !step) return;
    this.#isChanging = true;
    try {
      await this.#makeChange(step);
    } finally {
      this.#isChanging = false;
    }
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
    const isChanging = this.#isChanging;
    this.#logger.info("members seen", { term, ...members, isChanging });
  }

  async #makeChange(step: MembershipStep): Promise<void> {
    const outcome =
      step.type === "admit"
        ? await this.#log.replaceMember(step.host)
        : await this.#log.changeMembers(step);
    outcome.match(
      (index) => this.#logger.info("membership changed", { ...step, index }),
      (fault) =>
        this.#logger.warn("membership not changed", { ...step, fault }),
    );
  }
}
