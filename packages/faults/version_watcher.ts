import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Address } from "#model";
import { exchange } from "../demo/caller.ts";
import type { EntryReport, FaultSite } from "./fault_site.ts";

/** Poll interval, which is the resolution of the measured times. */
const POLL_INTERVAL_MS = 20;

/**
 * Polls all entries; records when each configuration version came into force
 * there.
 */
export class VersionWatcher {
  readonly #agent = new Agent({ keepAlive: true });
  readonly #observed: { version: number; at: number }[][];
  #closed = false;

  constructor(site: FaultSite) {
    this.#observed = site.processes.entries.map(({ metrics }) => {
      const observed: { version: number; at: number }[] = [];
      void this.#poll(metrics, observed);
      return observed;
    });
  }

  /**
   * Monotonic time in milliseconds at which the last entry had this version or
   * a newer one in force; undefined until then.
   */
  inForceEverywhereAt(version: number): number | undefined {
    const times = this.#observed.map(
      (observed) => observed.find((item) => item.version >= version)?.at,
    );
    if (times.includes(undefined)) return undefined;
    return Math.max(...times.map((at) => at ?? 0));
  }

  close(): void {
    this.#closed = true;
    this.#agent.destroy();
  }

  async #poll(
    address: Address,
    observed: { version: number; at: number }[],
  ): Promise<void> {
    while (!this.#closed) {
      const request = { method: "GET", path: "/readyz", headers: {} };
      const response = await exchange({
        ...address,
        ...request,
        agent: this.#agent,
      }).catch(() => undefined);
      if (response) {
        const { status } = JSON.parse(response.body) as EntryReport;
        const at = performance.now();
        const { version } = status;
        if (version > (observed.at(-1)?.version ?? 0))
          observed.push({ version, at });
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }
}
