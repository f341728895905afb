import type {
  Evidence,
  Fingerprint,
  LossReport,
  ServerRun,
} from "./messages.ts";

/** How long a request stays suspected after a loss, in milliseconds. */
export const SUSPECTED_MS = 20 * 60_000;
/** How long a request stays in quarantine after its last loss. */
export const QUARANTINED_MS = 10 * 60_000;
/** Losses this close together may have one cause outside the servers. */
const OUTAGE_MS = 1_500;
/** Further servers of the data centre lost without the request. */
const OUTAGE_SERVERS = 2;
/** Runs per message, about 250 KiB with keys as fingerprints. */
const RUNS_PER_MESSAGE = 4_000;

/** Limits of the memory for evidence. */
export interface EvidenceLimits {
  readonly losses: number;
  readonly runsPerLoss: number;
  readonly runs: number;
}

/** About 30 MB at most. */
export const DEFAULT_EVIDENCE_LIMITS: EvidenceLimits = {
  losses: 2_000,
  runsPerLoss: 1_024,
  runs: 100_000,
};

interface Loss extends ServerRun {
  /** `Clock.now()` of the loss. */
  readonly at: number;
  /** Fingerprint to `Clock.now()` of the run's start. */
  readonly runs: Map<Fingerprint, number>;
}

interface Suspect {
  readonly losses: Set<Loss>;
  /** `Clock.now()` of the newest answer that a server gave. */
  clearedAt: number;
}

export type Standing = "clean" | "suspected" | "quarantined";

/** Losses of servers and the requests that ran on them. */
export class Losses {
  readonly #limits: EvidenceLimits;
  /** Oldest report first. */
  readonly #losses = new Map<string, Loss>();
  readonly #suspects = new Map<Fingerprint, Suspect>();
  #runs = 0;

  constructor(limits = DEFAULT_EVIDENCE_LIMITS) {
    this.#limits = limits;
  }

  /** Numbers of remembered losses, runs and requests. */
  get size() {
    const losses = this.#losses.size;
    return { losses, runs: this.#runs, suspects: this.#suspects.size };
  }

  /** Merges a report; returns the requests that are new in this loss. */
  add(report: LossReport, now: number): Fingerprint[] {
    const age = Math.max(0, report.ageMs);
    if (age >= SUSPECTED_MS) return [];
    const id = `${report.server}#${report.incarnation}`;
    const loss = this.#losses.get(id) ?? {
      server: report.server,
      incarnation: report.incarnation,
      dataCentre: report.dataCentre,
      at: now - age,
      runs: new Map(),
    };
    this.#losses.set(id, loss);
    const added: Fingerprint[] = [];
    for (const [fingerprint, ranMs] of report.runs) {
      if (loss.runs.has(fingerprint)) continue;
      if (loss.runs.size >= this.#limits.runsPerLoss) break;
      loss.runs.set(fingerprint, now - age - ranMs);
      this.#runs++;
      this.#suspect(fingerprint).losses.add(loss);
      added.push(fingerprint);
    }
    this.#evict();
    return added;
  }

  /** Notes that a server ran the request and survived; true if that is news. */
  clear(fingerprint: Fingerprint, at: number): boolean {
    const suspect = this.#suspects.get(fingerprint);
    if (!suspect) return false;
    const before = suspect.clearedAt;
    const news = [...suspect.losses].some((l) => l.at > before && l.at <= at);
    if (news) suspect.clearedAt = at;
    return news;
  }

  standing(fingerprint: Fingerprint, now: number): Standing {
    const losses = this.#counted(fingerprint, now);
    if (losses.length === 0) return "clean";
    return this.#repeatedAt(fingerprint, losses) + QUARANTINED_MS > now
      ? "quarantined"
      : "suspected";
  }

  /** The losses that speak against a request. */
  against(fingerprint: Fingerprint, now: number): readonly ServerRun[] {
    return this.#counted(fingerprint, now);
  }

  expire(now: number): void {
    for (const [id, loss] of this.#losses) {
      if (now - loss.at >= SUSPECTED_MS) this.#forget(id, loss);
    }
  }

  /** All evidence, in messages of bounded size. */
  *reports(now: number): Generator<Evidence> {
    let losses: LossReport[] = [];
    let runs = 0;
    for (const { at, runs: ran, ...server } of this.#losses.values()) {
      const pairs = [...ran].map(([f, start]) => [f, at - start] as const);
      losses.push({ ...server, ageMs: now - at, runs: pairs });
      runs += ran.size;
      if (runs < RUNS_PER_MESSAGE) continue;
      yield { losses, cleared: [] };
      losses = [];
      runs = 0;
    }
    const cleared = [...this.#suspects]
      .filter(([, { clearedAt }]) => Number.isFinite(clearedAt))
      .map(([f, { clearedAt }]) => [f, now - clearedAt] as const);
    for (let from = 0; from < cleared.length; from += RUNS_PER_MESSAGE) {
      const part = cleared.slice(from, from + RUNS_PER_MESSAGE);
      yield { losses, cleared: part };
      losses = [];
    }
    if (losses.length > 0) yield { losses, cleared: [] };
  }

  #suspect(fingerprint: Fingerprint): Suspect {
    const known = this.#suspects.get(fingerprint);
    if (known) return known;
    const clearedAt = Number.NEGATIVE_INFINITY;
    const suspect = { losses: new Set<Loss>(), clearedAt };
    this.#suspects.set(fingerprint, suspect);
    return suspect;
  }

  #counted(fingerprint: Fingerprint, now: number): Loss[] {
    const suspect = this.#suspects.get(fingerprint);
    if (!suspect) return [];
    return [...suspect.losses].filter(
      ({ at }) => at > suspect.clearedAt && now - at < SUSPECTED_MS,
    );
  }

  /**
   * When a run that began after a first loss ended in a second one. Runs side
   * by side do not count twice: one outage can end them all.
   */
  #repeatedAt(fingerprint: Fingerprint, counted: readonly Loss[]): number {
    if (counted.length < 2) return Number.NEGATIVE_INFINITY;
    const [first, ...later] = counted
      .filter((loss) => !this.#inOutage(fingerprint, loss))
      .sort((a, b) => a.at - b.at);
    const repeats = later.filter(({ runs }) => {
      const start = runs.get(fingerprint);
      return first && start !== undefined && start >= first.at;
    });
    return Math.max(...repeats.map(({ at }) => at));
  }

  #inOutage(fingerprint: Fingerprint, loss: Loss): boolean {
    let others = 0;
    for (const other of this.#losses.values()) {
      if (other.dataCentre !== loss.dataCentre) continue;
      if (Math.abs(other.at - loss.at) > OUTAGE_MS) continue;
      if (other.runs.has(fingerprint)) continue;
      others++;
      if (others >= OUTAGE_SERVERS) return true;
    }
    return false;
  }

  #evict(): void {
    for (const [id, loss] of this.#losses) {
      const { losses, runs } = this.#limits;
      if (this.#losses.size <= losses && this.#runs <= runs) return;
      this.#forget(id, loss);
    }
  }

  #forget(id: string, loss: Loss): void {
    this.#losses.delete(id);
    this.#runs -= loss.runs.size;
    for (const fingerprint of loss.runs.keys()) {
      const suspect = this.#suspects.get(fingerprint);
      suspect?.losses.delete(loss);
      if (suspect?.losses.size === 0) this.#suspects.delete(fingerprint);
    }
  }
}
