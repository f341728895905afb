import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandomness } from "#model";
import { StatementRun } from "./statement_run.ts";
import { makeServer, makeView } from "./test_cluster.ts";

/** Seeds of a run in CI; `SCHEDULE_SEEDS` sets another range. */
const [FIRST_SEED = 1, LAST_SEED = 10] = (
  process.env.SCHEDULE_SEEDS?.split("-") ?? []
).map(Number);
const EVENTS_PER_RUN = 14;
/** Requests that a server may get from one entry while it wants none. */
const MAX_DURING_BACK_OFF = 2;

/** A site under random statements of its servers and random faults. */
class Schedule {
  readonly #random: SeededRandomness;
  readonly run: StatementRun;
  readonly #servers: { id: string; incarnation: number }[];
  #epoch = 1;

  constructor(seed: number) {
    this.#random = new SeededRandomness(seed);
    const entries = this.#pick([3, 5, 9, 17, 17, 40]);
    const servers = this.#pick([2, 6, 12, 12]);
    const serviceMs = this.#pick([20, 150, 300, 300]);
    const capacityPerS = (servers * 6_000) / serviceMs;
    const load = this.#pick([0.1, 0.4, 0.8, 1.3]);
    const callsPerS = Math.min(300, load * capacityPerS);
    const options = { seed, entries, servers, callsPerS, serviceMs };
    this.run = new StatementRun(options);
    this.#servers = Array.from({ length: servers }, (_, index) => ({
      id: `s${index}`,
      incarnation: 1,
    }));
  }

  play(): void {
    this.run.run(2_000);
    for (let event = 0; event < EVENTS_PER_RUN; event++) {
      this.#playEvent();
      this.run.run(100 + this.#random.below(1_900));
    }
    this.#heal();
    this.run.run(5_000);
  }

  get serverIds(): string[] {
    return this.#servers.map(({ id }) => id);
  }

  #playEvent(): void {
    const { run } = this;
    const { cluster } = run;
    const server = this.#pick(this.#servers);
    const entry = this.#pick([...cluster.routers.keys()]);
    switch (this.#random.below(11)) {
      case 0:
      case 1:
      case 2:
        run.setLimit(server.id, this.#pick([0.5, 2.3, 3.6, 10, 60]));
        return;
      case 3:
        for (const { id } of this.#servers) run.setLimit(id, 3);
        return;
      case 4:
        run.setLimit(server.id, undefined);
        return;
      case 5:
        run.setBackOff(server.id, this.#pick([undefined, 800, 2_500, 6_000]));
        return;
      case 6:
        this.#restart(server);
        return;
      case 7:
        if (cluster.routers.size <= 2) return;
        cluster.frozenEntries.delete(entry);
        cluster.kill(this.#random.below(2) ? cluster.dispatcher : entry);
        this.#changeView();
        return;
      case 8:
        this.#changeView();
        return;
      case 9:
        this.#cut();
        return;
      default:
        this.#heal();
    }
  }

  /** A server starts again under its id and says nothing of before. */
  #restart(server: { id: string; incarnation: number }): void {
    server.incarnation += 1;
    this.run.restart(server.id);
    this.run.cluster.setServers(
      this.#servers.map(({ id, incarnation }) =>
        makeServer(id, { slots: 6, incarnation, startedMsAgo: 0 }),
      ),
    );
  }

  #changeView(): void {
    const { cluster } = this.run;
    this.#epoch += 1;
    cluster.setView(makeView([...cluster.routers.keys()], this.#epoch));
  }

  /** Cuts a random part of the entries off from the others. */
  #cut(): void {
    const { cluster } = this.run;
    const apart = new Set(
      [...cluster.routers.keys()].filter(() => this.#random.below(2) === 0),
    );
    cluster.deliveryMode = (from, { to }) =>
      apart.has(from) === apart.has(to) ? "deliver" : "drop";
  }

  #heal(): void {
    this.run.cluster.deliveryMode = () => "deliver";
  }

  #pick<T>(items: readonly T[]): T {
    return items[this.#random.below(items.length)] as T;
  }
}

// Guards against limits and times to back off that are forgotten in cuts, when
// entries or dispatchers go, when servers restart, and under overload.
test("servers' statements hold under random faults", () => {
  for (let seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
    const schedule = new Schedule(seed);
    schedule.play();
    assert.equal(schedule.run.worstExcess(), 0, `seed ${seed}`);
    for (const id of schedule.serverIds) {
      const sent = schedule.run.requestsDuringBackOff(id);
      assert.ok(sent <= MAX_DURING_BACK_OFF, `seed ${seed}, ${id}: ${sent}`);
    }
  }
});
