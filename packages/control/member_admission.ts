import type { ReplicatedLog } from "#agreement";
import type { Clock } from "#model";
import type { Logger } from "#telemetry";
import { MemberDuties, type MemberDuty } from "./member_duties.ts";

type MemberLog = Pick<
  ReplicatedLog<never, unknown>,
  "status" | "changeMembers" | "replaceMember"
>;

/** Carries out the leader's changes of membership, one at a time. */
export class MemberAdmission {
  readonly #log: MemberLog;
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #duties = new MemberDuties();
  #busy = false;

  constructor(options: { log: MemberLog; clock: Clock; logger: Logger }) {
    this.#log = options.log;
    this.#clock = options.clock;
    this.#logger = options.logger;
  }

  async tick(): Promise<void> {
    const duty = this.#duties.due(this.#log.status(), this.#clock.now());
    if (this.#busy || !duty) return;
    this.#busy = true;
    try {
      await this.#carryOut(duty);
    } finally {
      this.#busy = false;
    }
  }

  async #carryOut(duty: MemberDuty): Promise<void> {
    const outcome =
      duty.type === "admit"
        ? await this.#log.replaceMember(duty.host)
        : await this.#log.changeMembers(duty);
    outcome.match(
      (index) => this.#logger.info("membership changed", { ...duty, index }),
      (fault) =>
        this.#logger.warn("membership not changed", { ...duty, fault }),
    );
  }
}
