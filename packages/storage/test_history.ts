import assert from "node:assert/strict";
import type { ChangeFault, Effect } from "#agreement";
import type { SimulatedHost } from "./test_simulation.ts";

/**
 * Observes all hosts of a simulation and checks the guarantees of the log: the
 * same order on all hosts, no lost or repeated command, no stale read, and one
 * leader a term.
 */
export class History {
  /** The request id applied at each index; null for entries without one. */
  readonly #appliedIds: (string | null)[] = [null];
  readonly #indexOf = new Map<string, number>();
  /** By cluster and term; a new cluster begins with the first term again. */
  readonly #leaderOfTerm = new Map<string, string>();
  readonly #submitterOf = new Map<string, string>();
  /** The highest acknowledged index when each read was started. */
  readonly #readMinimums = new Map<string, number>();
  readonly faults = new Map<string, ChangeFault>();
  readonly acknowledged = new Map<string, number>();
  readonly confirmed = new Map<string, number>();
  #highestAcknowledged = 0;

  recordSubmitted(id: string, host: string, incarnation: number): void {
    this.#submitterOf.set(id, `${host}#${incarnation}`);
  }

  recordReadStarted(id: string): void {
    this.#readMinimums.set(id, this.#highestAcknowledged);
  }

  recordEffect(host: SimulatedHost, effect: Effect): void {
    switch (effect.type) {
      case "apply":
        for (const entry of effect.entries) {
          this.#checkApplied(host, entry.index, entry.id);
          if (entry.command && entry.id) host.commands.push(entry.id);
        }
        return;
      case "restore":
        this.#checkRestored(host, effect.snapshot.index, effect.snapshot.bytes);
        return;
      case "read":
        this.#checkRead(host, effect.id, effect.index);
        return;
      case "failed":
        this.#checkFailed(effect.id, effect.fault);
        return;
      case "notice":
        if (effect.notice.type !== "elected") return;
        this.#checkElected(host, effect.notice.term);
        return;
    }
  }

  /** Whether a host has applied all acknowledged commands. */
  hasAcknowledged(host: SimulatedHost): boolean {
    return [...this.acknowledged.values()].every(
      (index) => host.applied >= index,
    );
  }

  /** Checks that a host has applied all acknowledged commands. */
  checkHasAcknowledged(host: SimulatedHost): void {
    for (const [id, index] of this.acknowledged) {
      assert.ok(host.applied >= index, `${host.id} lost ${id} at ${index}`);
    }
  }

  #checkApplied(
    host: SimulatedHost,
    index: number,
    id: string | undefined,
  ): void {
    assert.equal(index, host.applied + 1, `${host.id} applies in sequence`);
    host.applied = index;
    const expectedId = this.#appliedIds[index];
    if (expectedId === undefined) {
      assert.equal(index, this.#appliedIds.length, "no gap in the order");
      this.#appliedIds.push(id ?? null);
      if (id !== undefined) this.#checkFirstApplied(index, id);
    } else {
      assert.equal(id ?? null, expectedId, `${host.id} differs at ${index}`);
    }
    if (id === undefined) return;
    if (this.#submitterOf.get(id) !== `${host.id}#${host.incarnation}`) return;
    this.acknowledged.set(id, index);
    this.#highestAcknowledged = Math.max(this.#highestAcknowledged, index);
  }

  #checkFirstApplied(index: number, id: string): void {
    assert.ok(!this.#indexOf.has(id), `${id} is applied twice`);
    const fault = this.faults.get(id);
    const mayApply = !fault || fault.type === "result_unknown";
    assert.ok(mayApply, `${id} failed with ${fault?.type}, but is applied`);
    this.#indexOf.set(id, index);
  }

  #checkRestored(host: SimulatedHost, index: number, bytes: Uint8Array): void {
    assert.ok(index >= host.applied, `${host.id} reverts to ${index}`);
    const commands: string[] = JSON.parse(Buffer.from(bytes).toString());
    for (const id of commands) {
      const at = this.#indexOf.get(id);
      assert.ok(at !== undefined && at <= index, `${id} is in the snapshot`);
    }
    host.commands = commands;
    host.applied = index;
  }

  #checkRead(host: SimulatedHost, id: string, index: number): void {
    const minimum = this.#readMinimums.get(id) ?? 0;
    assert.ok(index >= minimum, `read at ${index} misses ${minimum}`);
    assert.ok(host.applied >= index, `read at ${index} before it is applied`);
    this.confirmed.set(id, index);
    this.#highestAcknowledged = Math.max(this.#highestAcknowledged, index);
  }

  #checkFailed(id: string, fault: ChangeFault): void {
    this.faults.set(id, fault);
    const mayApply =
      fault.type === "result_unknown" || this.#readMinimums.has(id);
    assert.ok(
      mayApply || !this.#indexOf.has(id),
      `${id} is applied, but failed with ${fault.type}`,
    );
  }

  #checkElected(host: SimulatedHost, term: number): void {
    const leader = `${host.id}#${host.incarnation}`;
    const key = `${host.disk.state().founding?.cluster} ${term}`;
    const other = this.#leaderOfTerm.get(key) ?? leader;
    assert.equal(other, leader, `two leaders in term ${term}`);
    this.#leaderOfTerm.set(key, leader);
  }
}
