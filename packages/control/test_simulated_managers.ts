import type { MemberChange } from "#agreement";
import type { SimulatedHost, Simulation } from "../storage/test_simulation.ts";
import { MembershipManager } from "./membership_manager.ts";

const MANAGER_TICK_MS = 100;
const NO_LOG = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** Runs the manager of the membership on each host of a simulation. */
export class SimulatedManagers {
  readonly #simulation: Simulation;

  constructor(simulation: Simulation) {
    this.#simulation = simulation;
    for (const host of simulation.hosts) this.add(host);
  }

  add(host: SimulatedHost): void {
    this.#tick(host, { incarnation: -1, manager: this.#create(host) });
  }

  #tick(
    host: SimulatedHost,
    {
      incarnation,
      manager,
    }: { incarnation: number; manager: MembershipManager },
  ): void {
    const isSame = incarnation === host.incarnation;
    const current = isSame ? manager : this.#create(host);
    if (host.core && !host.isFrozen) current.tick();
    const next = { incarnation: host.incarnation, manager: current };
    this.#simulation.at(MANAGER_TICK_MS, () => this.#tick(host, next));
  }

  #create(host: SimulatedHost): MembershipManager {
    const s = this.#simulation;
    return new MembershipManager({
      clock: { now: () => s.now, wallTime: () => s.now },
      logger: NO_LOG as never,
      log: {
        status: () => {
          if (!host.core) throw new Error(`${host.id} is closed`);
          return host.core.status(s.now);
        },
        // The manager learns from the status what has become of the change; virtual
        // time doesn't pass while a promise is awaited.
        changeMembers: (change: MemberChange) => {
          s.change(host, change);
          return new Promise(() => undefined);
        },
      },
    });
  }
}
