import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Address } from "#model";
import { exchange } from "../demo/caller.ts";
import type { EntryReport, FaultSite } from "./fault_site.ts";

/** Resolution of the measured times, in milliseconds. */
const LOOK_EVERY_MS = 20;

/** Records when each entry first had a configuration version in force. */
export class VersionWatch {
  readonly #agent = new Agent({ keepAlive: true });
  readonly #seen: { version: number; at: number }[][];
  #closed = false;

  constructor(site: FaultSite) {
    this.#seen = site.processes.entries.map(({ metrics }) => {
      const seen: { version: number; at: number }[] = [];
      void this.#watch(metrics, seen);
      return seen;
    });
  }

  /** When the last entry had this version or a newer one in force. */
  everywhere(version: number): number | undefined {
    const times = this.#seen.map(
      (seen) => seen.find((step) => step.version >= version)?.at,
    );
    if (times.includes(undefined)) return undefined;
    return Math.max(...times.map((at) => at ?? 0));
  }

  close(): void {
    this.#closed = true;
    this.#agent.destroy();
  }

  async #watch(
    address: Address,
    seen: { version: number; at: number }[],
  ): Promise<void> {
    while (!this.#closed) {
      const request = { method: "GET", path: "/readyz", headers: {} };
      const answer = await exchange({
        ...address,
        ...request,
        agent: this.#agent,
      }).catch(() => undefined);
      if (answer) {
        const { status } = JSON.parse(answer.body) as EntryReport;
        const at = performance.now();
        const { version } = status;
        if (version > (seen.at(-1)?.version ?? 0)) seen.push({ version, at });
      }
      await sleep(LOOK_EVERY_MS);
    }
  }
}
