import type {
  Evidence,
  Fingerprint,
  LossReport,
  ServerIncarnation,
} from "./messages.ts";

/** How long a request stays suspected after a loss. */
export const SUSPICION_DURATION_MS = 20 * 60_000;
/** How long a request stays quarantined after its last loss. */
export const QUARANTINE_DURATION_MS = 10 * 60_000;
/** Losses within this time of each other may be due to one external outage. */
const OUTAGE_WINDOW_MS = 1_500;
/**
 * A loss is part of an outage if the data centre also loses this many servers
 * that did not run the request.
 */
const MIN_OUTAGE_SERVERS = 2;
/** Limits a message to about 250 KiB with keys as fingerprints. */
const MAX_RUNS_PER_MESSAGE = 4_000;

/** Limits on the memory for evidence, as numbers of losses and runs. */
export interface EvidenceLimits {
  readonly losses: number;
  readonly runsPerLoss: number;
  readonly runs: number;
}

/** These limits allow about 30 MB. */
export const DEFAULT_EVIDENCE_LIMITS: EvidenceLimits = {
  losses: 2_000,
  runsPerLoss: 1_024,
  runs: 100_000,
};

interface Loss extends ServerIncarnation {
  /** `Clock.now()` of the loss. */
  readonly lostAt: number;
  /** Requests that ran there, with `Clock.now()` of their start. */
  readonly runs: Map<Fingerprint, number>;
}

/** The evidence on one request. */
interface RequestRecord {
  readonly losses: Set<Loss>;
  /** `Clock.now()` of the latest response of a server that ran the request. */
  clearedAt: number;
}

export type QuarantineStatus = "clean" | "suspected" | "quarantined";

/** Stores losses of servers with the requests that ran on them. */
export class ServerLosses {
  readonly #limits: EvidenceLimits;
  /** By server incarnation, oldest report first. */
  readonly #losses = new Map<string, Loss>();
  readonly #requests = new Map<Fingerprint, RequestRecord>();
  #runs = 0;

  constructor(limits = DEFAULT_EVIDENCE_LIMITS) {
    this.#limits = limits;
  }

  /** Numbers of stored losses, runs and requests. */
  get size() {
    const losses = this.#losses.size;
    return { losses, runs: this.#runs, requests: this.#requests.size };
  }

  /** Whether a report contains a loss or a run that is not stored. */
  isNew({ server, incarnation, runs }: LossReport): boolean {
    const known = this.#losses.get(`${server}#${incarnation}`);
    if (!known) return true;
    return runs.some(([fingerprint]) => !known.runs.has(fingerprint));
  }

  /** Merges a report; returns the requests that were added to the loss. */
  add(report: LossReport, now: number): Fingerprint[] {
    const age = Math.max(0, report.ageMs);
    if (age >= SUSPICION_DURATION_MS) return [];
    const id = `${report.server}#${report.incarnation}`;
    const loss = this.#losses.get(id) ?? {
      server: report.server,
      incarnation: report.incarnation,
      dataCentre: report.dataCentre,
      lostAt: now - age,
      runs: new Map(),
    };
    this.#losses.set(id, loss);
    const added: Fingerprint[] = [];
    for (const [fingerprint, ranMs] of report.runs) {
      if (loss.runs.has(fingerprint)) continue;
      if (loss.runs.size >= this.#limits.runsPerLoss) break;
      loss.runs.set(fingerprint, now - age - ranMs);
      this.#runs++;
      this.#recordOf(fingerprint).losses.add(loss);
      added.push(fingerprint);
    }
    this.#evict();
    return added;
  }

  /**
   * Records that a server ran the request and responded, which clears earlier
   * losses. Returns whether it clears any loss that still counted.
   */
  clear(fingerprint: Fingerprint, answeredAt: number): boolean {
    const record = this.#requests.get(fingerprint);
    if (!record) return false;
    const previouslyClearedAt = record.clearedAt;
    const isNew = [...record.losses].some(
      (l) => l.lostAt > previouslyClearedAt && l.lostAt <= answeredAt,
    );
    if (isNew) record.clearedAt = answeredAt;
    return isNew;
  }

  status(fingerprint: Fingerprint, now: number): QuarantineStatus {
    const losses = this.#relevantLosses(fingerprint, now);
    if (losses.length === 0) return "clean";
    return this.#lastRepeatAt(fingerprint, losses) + QUARANTINE_DURATION_MS >
      now
      ? "quarantined"
      : "suspected";
  }

  /** The losses that count against a request. */
  lossesOf(
    fingerprint: Fingerprint,
    now: number,
  ): readonly ServerIncarnation[] {
    return this.#relevantLosses(fingerprint, now);
  }

  expire(now: number): void {
    for (const [id, loss] of this.#losses) {
      if (now - loss.lostAt >= SUSPICION_DURATION_MS) this.#remove(id, loss);
    }
  }

  /** All stored evidence, in messages of limited size. */
  *reports(now: number): Generator<Evidence> {
    let losses: LossReport[] = [];
    let runs = 0;
    for (const { lostAt, runs: ran, ...server } of this.#losses.values()) {
      const pairs = [...ran].map(([f, start]) => [f, lostAt - start] as const);
      losses.push({ ...server, ageMs: now - lostAt, runs: pairs });
      runs += ran.size;
      if (runs < MAX_RUNS_PER_MESSAGE) continue;
      yield { losses, cleared: [] };
      losses = [];
      runs = 0;
    }
    const cleared = [...this.#requests]
      .filter(([, { clearedAt }]) => Number.isFinite(clearedAt))
      .map(([f, { clearedAt }]) => [f, now - clearedAt] as const);
    for (let from = 0; from < cleared.length; from += MAX_RUNS_PER_MESSAGE) {
      const part = cleared.slice(from, from + MAX_RUNS_PER_MESSAGE);
      yield { losses, cleared: part };
      losses = [];
    }
    if (losses.length > 0) yield { losses, cleared: [] };
  }

  #recordOf(fingerprint: Fingerprint): RequestRecord {
    const known = this.#requests.get(fingerprint);
    if (known) return known;
    const clearedAt = Number.NEGATIVE_INFINITY;
    const record = { losses: new Set<Loss>(), clearedAt };
    this.#requests.set(fingerprint, record);
    return record;
  }

  #relevantLosses(fingerprint: Fingerprint, now: number): Loss[] {
    const record = this.#requests.get(fingerprint);
    if (!record) return [];
    return [...record.losses].filter(
      ({ lostAt }) =>
        lostAt > record.clearedAt && now - lostAt < SUSPICION_DURATION_MS,
    );
  }

  /**
   * The time of the last loss of a run that began after the first loss. Losses
   * of concurrent runs do not count as repeats, since one outage can cause all.
   */
  #lastRepeatAt(fingerprint: Fingerprint, losses: readonly Loss[]): number {
    if (losses.length < 2) return Number.NEGATIVE_INFINITY;
    const [first, ...later] = losses
      .filter((loss) => !this.#isInOutage(fingerprint, loss))
      .sort((a, b) => a.lostAt - b.lostAt);
    const repeats = later.filter(({ runs }) => {
      const start = runs.get(fingerprint);
      return first && start !== undefined && start >= first.lostAt;
    });
    return Math.max(...repeats.map(({ lostAt }) => lostAt));
  }

  #isInOutage(fingerprint: Fingerprint, loss: Loss): boolean {
    let others = 0;
    for (const other of this.#losses.values()) {
      if (other.dataCentre !== loss.dataCentre) continue;
      if (Math.abs(other.lostAt - loss.lostAt) > OUTAGE_WINDOW_MS) continue;
      if (other.runs.has(fingerprint)) continue;
      others++;
      if (others >= MIN_OUTAGE_SERVERS) return true;
    }
    return false;
  }

  #evict(): void {
    for (const [id, loss] of this.#losses) {
      const { losses, runs } = this.#limits;
      if (this.#losses.size <= losses && this.#runs <= runs) return;
      this.#remove(id, loss);
    }
  }

  #remove(id: string, loss: Loss): void {
    this.#losses.delete(id);
    this.#runs -= loss.runs.size;
    for (const fingerprint of loss.runs.keys()) {
      const record = this.#requests.get(fingerprint);
      record?.losses.delete(loss);
      if (record?.losses.size === 0) this.#requests.delete(fingerprint);
    }
  }
}
