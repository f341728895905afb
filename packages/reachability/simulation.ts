import { type BackendServer, type Entry, SeededRandomness } from "#model";
import { HandoverTargets } from "./handover_targets.ts";
import type { Fault, PathEffect } from "./path_effects.ts";
import { ServerPaths } from "./server_paths.ts";
import { testEntry, testServer } from "./test_support.ts";

const SERVICE = "alloc";
const DATA_CENTRES = ["a", "b", "c", "d"];
/** Round trip of a message between entries or to a server. */
const ROUND_TRIP_MS = 1;
const CONNECT_TIMEOUT_MS = 150;
const CHECK_TIMEOUT_MS = 100;
const TICK_MS = 50;
/** Servers that are tried for a call at an entry. */
const MAX_CHECKS = 4;
const MAX_ENTRIES_ASKED = 6;

/** A time in which entries do not reach servers. */
export interface SimulatedCut {
  readonly entries: ReadonlySet<string>;
  /** Data centre of the servers; undefined for all of them. */
  readonly dataCentre: string | undefined;
  readonly from: number;
  readonly to: number;
  /** Whether connections time out; they are refused else. */
  readonly hangs: boolean;
}

export interface SimulationPlan {
  readonly seed: number;
  readonly entries: number;
  readonly servers: number;
  readonly callsPerSecond: number;
  readonly forMs: number;
  readonly cuts: (
    entries: readonly Entry[],
    servers: readonly BackendServer[],
  ) => readonly SimulatedCut[];
  /** Ids of servers that are dead from a time on. */
  readonly deadFrom: ReadonlyMap<string, number>;
}

export interface SimulatedCall {
  readonly entry: string;
  readonly sentAt: number;
  endedAt: number;
  served: boolean;
  /** Entries that worked on it, the first one included. */
  entries: number;
}

export interface Judgement {
  readonly entry: string;
  readonly server: string;
  readonly at: number;
  /** When the call failed. */
  readonly failedAt: number;
  readonly fault: Fault;
  readonly isDead: boolean;
  readonly isCut: boolean;
}

interface SimulatedEntry {
  readonly entry: Entry;
  readonly paths: ServerPaths;
  readonly targets: HandoverTargets;
  readonly questions: Map<string, ((fault: Fault) => void)[]>;
}

/** Entries, servers and cuts on a virtual clock. */
export class ReachabilitySimulation {
  readonly calls: SimulatedCall[] = [];
  readonly judgements: Judgement[] = [];
  readonly cuts: readonly SimulatedCut[];
  readonly #plan: SimulationPlan;
  readonly #random: SeededRandomness;
  readonly #servers: BackendServer[];
  readonly #entries = new Map<string, SimulatedEntry>();
  #events: { readonly at: number; readonly run: () => void }[] = [];
  #now = 0;

  constructor(plan: SimulationPlan) {
    this.#plan = plan;
    this.#random = new SeededRandomness(plan.seed);
    this.#servers = Array.from({ length: plan.servers }, (_, index) =>
      testServer(`s${index}`, dataCentreOf(index)),
    );
    const entries = Array.from({ length: plan.entries }, (_, index) =>
      testEntry(`e${index}`, dataCentreOf(index)),
    );
    this.cuts = plan.cuts(entries, this.#servers);
    for (const entry of entries) this.#add(entry, entries);
  }

  run(): void {
    const { forMs, callsPerSecond } = this.#plan;
    const ids = [...this.#entries.keys()];
    for (let at = 0; at < forMs; at += 1_000 / callsPerSecond) {
      const id = ids[this.#random.below(ids.length)] ?? "";
      this.#at(at, () => this.#call(id));
    }
    for (let at = TICK_MS; at < forMs + 1_000; at += TICK_MS) {
      this.#at(at, () => this.#tick());
    }
    this.#events.sort((a, b) => a.at - b.at);
    for (let next = this.#events.shift(); next; next = this.#events.shift()) {
      this.#now = next.at;
      next.run();
    }
  }

  #add(entry: Entry, entries: readonly Entry[]): void {
    const { id: self, dataCentre } = entry;
    const random = this.#random;
    const targets = new HandoverTargets({ self, dataCentre, random });
    targets.configure({ epoch: 1, began: 0, entries });
    const paths = new ServerPaths(random);
    paths.setServers(SERVICE, this.#servers, 0);
    const questions = new Map();
    this.#entries.set(self, { entry, paths, targets, questions });
  }

  /** Events of the run are inserted in the order of time. */
  #at(at: number, run: () => void): void {
    if (this.#now === 0) {
      this.#events.push({ at, run });
      return;
    }
    let index = 0;
    while ((this.#events[index]?.at ?? Number.POSITIVE_INFINITY) <= at) index++;
    this.#events.splice(index, 0, { at, run });
  }

  #after(ms: number, run: () => void): void {
    this.#at(this.#now + ms, run);
  }

  #call(id: string): void {
    const call: SimulatedCall = {
      entry: id,
      sentAt: this.#now,
      endedAt: 0,
      served: false,
      entries: 1,
    };
    this.calls.push(call);
    const finish = (served: boolean) => {
      call.served = served;
      call.endedAt = this.#now;
    };
    const entry = this.#entry(id);
    if (entry.paths.isCutOff(SERVICE)) {
      this.#handOver(entry, { call, finish, tried: new Set() });
      return;
    }
    this.#tryServers(entry, new Set(), (served) => {
      if (served) finish(true);
      else if (entry.paths.isCutOff(SERVICE))
        this.#handOver(entry, { call, finish, tried: new Set() });
      else finish(false);
    });
  }

  #handOver(
    entry: SimulatedEntry,
    context: {
      readonly call: SimulatedCall;
      readonly finish: (served: boolean) => void;
      readonly tried: Set<string>;
    },
  ): void {
    const { call, finish, tried } = context;
    const now = this.#now;
    const target =
      tried.size < MAX_ENTRIES_ASKED
        ? entry.targets.choose(SERVICE, { tried, now })
        : undefined;
    if (!target) {
      finish(false);
      return;
    }
    tried.add(target.id);
    const other = this.#entry(target.id);
    const refuse = () => {
      entry.targets.refused(SERVICE, target.id, this.#now);
      this.#handOver(entry, context);
    };
    this.#after(ROUND_TRIP_MS, () => {
      if (other.paths.isCutOff(SERVICE)) {
        refuse();
        return;
      }
      call.entries = 2;
      this.#tryServers(other, new Set(), (served) => {
        if (served || !other.paths.isCutOff(SERVICE)) finish(served);
        else refuse();
      });
    });
  }

  #tryServers(
    entry: SimulatedEntry,
    tried: Set<string>,
    finish: (served: boolean) => void,
  ): void {
    const untried = this.#servers.filter(({ id }) => !tried.has(id));
    const unreached = entry.paths.unreached(SERVICE);
    const preferred = untried.filter(({ id }) => !unreached.includes(id));
    const left = preferred.length > 0 ? preferred : untried;
    const server = left[this.#random.below(Math.max(1, left.length))];
    if (!server || tried.size >= MAX_CHECKS || entry.paths.isCutOff(SERVICE)) {
      finish(false);
      return;
    }
    tried.add(server.id);
    const cut = this.#cutBetween(entry, server);
    const isDead = this.#isDead(server);
    if (!cut && !isDead) {
      this.#after(ROUND_TRIP_MS, () => {
        entry.paths.heard(SERVICE, this.#now);
        finish(true);
      });
      return;
    }
    const ms = (cut?.hangs ?? false) ? CHECK_TIMEOUT_MS : ROUND_TRIP_MS;
    this.#after(ms, () => {
      const failedAt = this.#now;
      this.#judge(entry, server, (fault) => {
        const place = { entry: entry.entry.id, server: server.id };
        const seen = { fault, failedAt, at: this.#now };
        const isCut = cut !== undefined;
        this.judgements.push({ ...place, ...seen, isDead, isCut });
        this.#tryServers(entry, tried, finish);
      });
    });
  }

  #judge(
    entry: SimulatedEntry,
    server: BackendServer,
    onFault: (fault: Fault) => void,
  ): void {
    const questions = entry.questions.get(server.id) ?? [];
    entry.questions.set(server.id, [...questions, onFault]);
    this.#execute(entry, entry.paths.failed(server, this.#now));
  }

  #execute(entry: SimulatedEntry, effects: readonly PathEffect[]): void {
    for (const effect of effects) {
      switch (effect.type) {
        case "connect":
          this.#connect(entry, effect.server);
          break;
        case "judged": {
          const questions = entry.questions.get(effect.server.id) ?? [];
          entry.questions.delete(effect.server.id);
          for (const answer of questions) answer(effect.fault);
          break;
        }
        case "cut_off":
        case "restored":
          this.#announce(entry);
      }
    }
  }

  #connect(entry: SimulatedEntry, server: BackendServer): void {
    const cut = this.#cutBetween(entry, server);
    const fails = cut !== undefined || this.#isDead(server);
    const ms = cut?.hangs ? CONNECT_TIMEOUT_MS : ROUND_TRIP_MS;
    this.#after(ms, () => {
      const result = fails ? "failed" : "accepted";
      this.#execute(entry, entry.paths.tried(server, result, this.#now));
    });
  }

  #announce({ entry, paths }: SimulatedEntry): void {
    const services = paths.cutOffServices();
    this.#after(ROUND_TRIP_MS, () => {
      for (const { targets } of this.#entries.values()) {
        targets.setCutOff(entry.id, services, this.#now);
      }
    });
  }

  #tick(): void {
    for (const entry of this.#entries.values()) {
      if (!entry.paths.isActive) continue;
      this.#execute(entry, entry.paths.tick(this.#now));
    }
  }

  #cutBetween(
    { entry }: SimulatedEntry,
    server: BackendServer,
  ): SimulatedCut | undefined {
    return this.cuts.find(
      ({ entries, dataCentre, from, to }) =>
        entries.has(entry.id) &&
        (dataCentre === undefined || dataCentre === server.dataCentre) &&
        this.#now >= from &&
        this.#now < to,
    );
  }

  #isDead({ id }: BackendServer): boolean {
    const from = this.#plan.deadFrom.get(id);
    return from !== undefined && this.#now >= from;
  }

  #entry(id: string): SimulatedEntry {
    const entry = this.#entries.get(id);
    if (!entry) throw new Error(`no entry ${id}`);
    return entry;
  }
}

function dataCentreOf(index: number): string {
  return DATA_CENTRES[index % DATA_CENTRES.length] ?? "a";
}
