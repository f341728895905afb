import assert from "node:assert/strict";
import type { ChangeFault, Effect } from "#agreement";
import type { SimulatedHost } from "./test_simulation.ts";

/** Observes all hosts of a simulation and checks the guarantees of the log. */
export class History {
  /** Id applied at each index; null for entries without a request. */
  readonly #order: (string | null)[] = [null];
  readonly #indexOf = new Map<string, number>();
  readonly #leaders = new Map<number, string>();
  readonly #submitters = new Map<string, string>();
  /** Highest index that was acknowledged when the read began. */
  readonly #reads = new Map<string, number>();
  readonly faults = new Map<string, ChangeFault>();
  readonly acknowledged = new Map<string, number>();
  readonly confirmed = new Map<string, number>();
  #highest = 0;

  submitted(id: string, host: string, life: number): void {
    this.#submitters.set(id, `${host}#${life}`);
  }

  readStarted(id: string): void {
    this.#reads.set(id, this.#highest);
  }

  observe(host: SimulatedHost, effect: Effect): void {
    switch (effect.type) {
      case "apply":
        for (const entry of effect.entries) {
          this.#applied(host, entry.index, entry.id);
          if (entry.command && entry.id) host.commands.push(entry.id);
        }
        return;
      case "restore":
        this.#restored(host, effect.snapshot.index, effect.snapshot.bytes);
        return;
      case "read":
        this.#read(host, effect.id, effect.index);
        return;
      case "failed":
        this.#failed(effect.id, effect.fault);
        return;
      case "notice":
        if (effect.notice.type !== "elected") return;
        this.#elected(host, effect.notice.term);
        return;
    }
  }

  /** All acknowledged changes are part of what a host has applied. */
  checkHolds(host: SimulatedHost): void {
    for (const [id, index] of this.acknowledged) {
      assert.ok(host.applied >= index, `${host.id} lost ${id} at ${index}`);
    }
  }

  #applied(host: SimulatedHost, index: number, id: string | undefined): void {
    assert.equal(index, host.applied + 1, `${host.id} applies in sequence`);
    host.applied = index;
    const known = this.#order[index];
    if (known === undefined) {
      assert.equal(index, this.#order.length, "no gap in the order");
      this.#order.push(id ?? null);
      if (id !== undefined) this.#appliedFirst(index, id);
    } else {
      assert.equal(id ?? null, known, `${host.id} differs at ${index}`);
    }
    if (id === undefined) return;
    if (this.#submitters.get(id) !== `${host.id}#${host.life}`) return;
    this.acknowledged.set(id, index);
    this.#highest = Math.max(this.#highest, index);
  }

  #appliedFirst(index: number, id: string): void {
    assert.ok(!this.#indexOf.has(id), `${id} is applied twice`);
    const fault = this.faults.get(id);
    const mayApply = !fault || fault.type === "result_unknown";
    assert.ok(mayApply, `${id} failed with ${fault?.type}, but is applied`);
    this.#indexOf.set(id, index);
  }

  #restored(host: SimulatedHost, index: number, bytes: Uint8Array): void {
    assert.ok(index >= host.applied, `${host.id} reverts to ${index}`);
    const commands: string[] = JSON.parse(Buffer.from(bytes).toString());
    for (const id of commands) {
      const at = this.#indexOf.get(id);
      assert.ok(at !== undefined && at <= index, `${id} is in the snapshot`);
    }
    host.commands = commands;
    host.applied = index;
  }

  #read(host: SimulatedHost, id: string, index: number): void {
    const least = this.#reads.get(id) ?? 0;
    assert.ok(index >= least, `read at ${index} misses ${least}`);
    assert.ok(host.applied >= index, `read at ${index} before it is applied`);
    this.confirmed.set(id, index);
    this.#highest = Math.max(this.#highest, index);
  }

  #failed(id: string, fault: ChangeFault): void {
    this.faults.set(id, fault);
    const mayApply = fault.type === "result_unknown" || this.#reads.has(id);
    assert.ok(
      mayApply || !this.#indexOf.has(id),
      `${id} is applied, but failed with ${fault.type}`,
    );
  }

  #elected(host: SimulatedHost, term: number): void {
    const leader = `${host.id}#${host.life}`;
    const other = this.#leaders.get(term) ?? leader;
    assert.equal(other, leader, `two leaders in term ${term}`);
    this.#leaders.set(term, leader);
  }
}
