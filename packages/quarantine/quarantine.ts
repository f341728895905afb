import { type CallFault, callFault, type HostId } from "#model";
import type { Evidence, Fingerprint, ServerIncarnation } from "./messages.ts";
import { type EvidenceLimits, ServerLosses } from "./server_losses.ts";

/** Whether and how an attempt may run. */
export type Admission =
  | { readonly type: "run" }
  /**
   * Run on an otherwise idle server outside the data centres in `avoid`, where
   * servers were lost, as far as there is such a server.
   */
  | { readonly type: "isolate"; readonly avoid: readonly string[] }
  /** A `resume` effect follows when the isolated run ahead of it has ended. */
  | { readonly type: "wait" }
  | { readonly type: "quarantined"; readonly fault: CallFault }
  /** Too many attempts are waiting. */
  | { readonly type: "rejected"; readonly fault: CallFault };

/** An action for the caller of `Quarantine` to execute. */
export type QuarantineEffect =
  | {
      readonly type: "resume";
      readonly callId: string;
      readonly admission: Admission;
    }
  /**
   * The loss was caused by a request, so outlier ejection should not count it
   * against the server. Can be repeated for the same loss.
   */
  | {
      readonly type: "loss_attributed";
      readonly loss: ServerIncarnation;
      readonly fingerprint: Fingerprint;
    }
  | {
      readonly type: "send";
      readonly to: HostId;
      readonly kind: "quarantine.evidence";
      readonly payload: Evidence;
    };

/** How an attempt ended. */
export type RunOutcome =
  /** The server began the request and sent a complete response of its own. */
  | "answered"
  /** Any other end, which proves nothing about the request. */
  | "ended";

/** An admitted attempt; `startedAt` is its admission until it is sent. */
interface AdmittedRun {
  readonly fingerprint: Fingerprint;
  server: string | undefined;
  startedAt: number;
}

/** Maximum number of attempts that wait for the same isolated run. */
const MAX_WAITING_CALLS = 64;
const RETRY_AFTER_MS = 1_000;

/**
 * Detects requests that crash the servers that run them. After a first loss, a
 * request is suspected and runs in isolation; after a repeat it is quarantined.
 */
export class Quarantine {
  readonly #losses: ServerLosses;
  readonly #peers = new Set<HostId>();
  readonly #admittedRuns = new Map<string, AdmittedRun>();
  readonly #runsByServer = new Map<string, Set<string>>();
  /** The attempt that runs in isolation, and those waiting for its end. */
  readonly #isolatedRuns = new Map<
    Fingerprint,
    { callId: string; readonly waiting: string[] }
  >();

  constructor(options: { limits?: EvidenceLimits } = {}) {
    this.#losses = new ServerLosses(options.limits);
  }

  /** Numbers of stored losses, runs on lost servers and requests. */
  get size() {
    return this.#losses.size;
  }

  /**
   * Decides whether and how an attempt may run; to be called before each. The
   * id in `callId` is that of the attempt, since hedges run concurrently.
   */
  admit(fingerprint: Fingerprint, callId: string, now: number): Admission {
    const status = this.#losses.status(fingerprint, now);
    if (status === "quarantined") return quarantinedAdmission();
    if (status === "suspected") {
      const isolatedRun = this.#isolatedRuns.get(fingerprint);
      if (isolatedRun && isolatedRun.callId !== callId) {
        if (isolatedRun.waiting.length >= MAX_WAITING_CALLS) {
          return rejectedAdmission();
        }
        isolatedRun.waiting.push(callId);
        return { type: "wait" };
      }
      if (!isolatedRun)
        this.#isolatedRuns.set(fingerprint, { callId, waiting: [] });
    }
    this.#admittedRuns.set(callId, {
      fingerprint,
      server: undefined,
      startedAt: now,
    });
    if (status === "clean") return { type: "run" };
    const lost = this.#losses.lossesOf(fingerprint, now);
    const avoid = [...new Set(lost.map(({ dataCentre }) => dataCentre))];
    return { type: "isolate", avoid };
  }

  /** Records that an admitted attempt was sent to a server. */
  started(callId: string, server: ServerIncarnation, now: number): void {
    const run = this.#admittedRuns.get(callId);
    if (!run) return;
    run.server = incarnationKey(server);
    run.startedAt = now;
    const serverRuns = this.#runsByServer.get(run.server);
    if (serverRuns) serverRuns.add(callId);
    else this.#runsByServer.set(run.server, new Set([callId]));
  }

  /**
   * Records the end of an admitted or waiting attempt. If its server was lost,
   * `serverLost` is to be called before.
   */
  finished(callId: string, end: RunOutcome, now: number): QuarantineEffect[] {
    const run = this.#admittedRuns.get(callId);
    if (!run) {
      this.#removeWaiting(callId);
      return [];
    }
    this.#admittedRuns.delete(callId);
    const { fingerprint, server } = run;
    if (server) {
      const serverRuns = this.#runsByServer.get(server);
      serverRuns?.delete(callId);
      if (serverRuns?.size === 0) this.#runsByServer.delete(server);
    }
    const effects: QuarantineEffect[] = [];
    if (end === "answered" && this.#losses.clear(fingerprint, now)) {
      const cleared = [[fingerprint, 0] as const];
      effects.push(...this.#publish({ losses: [], cleared }));
    }
    const isolatedRun = this.#isolatedRuns.get(fingerprint);
    if (isolatedRun?.callId !== callId) return effects;
    this.#isolatedRuns.delete(fingerprint);
    return [...effects, ...this.#resume(fingerprint, isolatedRun.waiting, now)];
  }

  /**
   * Records the loss of a server: a connection reset while a request ran, or a
   * new incarnation. Not to be called for a server that was leaving.
   */
  serverLost(server: ServerIncarnation, now: number): QuarantineEffect[] {
    const runs = new Map<Fingerprint, number>();
    for (const callId of this.#runsByServer.get(incarnationKey(server)) ?? []) {
      const run = this.#admittedRuns.get(callId);
      if (run) runs.set(run.fingerprint, now - run.startedAt);
    }
    const { server: id, incarnation, dataCentre } = server;
    const place = { server: id, incarnation, dataCentre };
    // A loss without runs is also needed, to distinguish outages from crashes.
    const evidence = {
      losses: [{ ...place, ageMs: 0, runs: [...runs] }],
      cleared: [],
    };
    return [...this.#merge(evidence, now), ...this.#publish(evidence)];
  }

  /**
   * Merges the evidence of another entry. Where entries are linked to a few
   * others only, what is new is forwarded to those.
   */
  receive(
    from: HostId,
    evidence: Evidence,
    { now, forward }: { now: number; forward: boolean },
  ): QuarantineEffect[] {
    const losses = evidence.losses.filter((report) =>
      this.#losses.isNew(report),
    );
    const effects = this.#merge(evidence, now);
    if (!forward || losses.length === 0) return effects;
    const to = [...this.#peers].filter((peer) => peer !== from);
    const payload = { losses, cleared: evidence.cleared };
    return [...effects, ...to.map((peer) => sendEvidence(peer, payload))];
  }

  /** Sends all evidence to an entry that is new or reachable again. */
  peerUp(id: HostId, now: number): QuarantineEffect[] {
    this.#peers.add(id);
    return [...this.#losses.reports(now)].map((payload) =>
      sendEvidence(id, payload),
    );
  }

  peerDown(id: HostId): void {
    this.#peers.delete(id);
  }

  /** Removes expired evidence; to be called every few seconds. */
  tick(now: number): void {
    this.#losses.expire(now);
  }

  #merge(evidence: Evidence, now: number): QuarantineEffect[] {
    const affected = new Set<Fingerprint>();
    for (const report of evidence.losses) {
      for (const added of this.#losses.add(report, now)) affected.add(added);
    }
    for (const [fingerprint, ageMs] of evidence.cleared) {
      this.#losses.clear(fingerprint, now - Math.max(0, ageMs));
    }
    const effects: QuarantineEffect[] = [];
    for (const fingerprint of affected) {
      if (this.#losses.status(fingerprint, now) !== "quarantined") continue;
      for (const loss of this.#losses.lossesOf(fingerprint, now)) {
        const { server, incarnation, dataCentre } = loss;
        const serverIncarnation = { server, incarnation, dataCentre };
        effects.push({
          type: "loss_attributed",
          loss: serverIncarnation,
          fingerprint,
        });
      }
    }
    return effects;
  }

  #resume(
    fingerprint: Fingerprint,
    waiting: readonly string[],
    now: number,
  ): QuarantineEffect[] {
    return waiting.flatMap((callId): QuarantineEffect[] => {
      const admission = this.admit(fingerprint, callId, now);
      if (admission.type === "wait") return [];
      return [{ type: "resume", callId, admission }];
    });
  }

  #removeWaiting(callId: string): void {
    for (const { waiting } of this.#isolatedRuns.values()) {
      const index = waiting.indexOf(callId);
      if (index >= 0) waiting.splice(index, 1);
    }
  }

  #publish(payload: Evidence): QuarantineEffect[] {
    return [...this.#peers].map((to) => sendEvidence(to, payload));
  }
}

function incarnationKey({ server, incarnation }: ServerIncarnation): string {
  return `${server}#${incarnation}`;
}

function sendEvidence(to: HostId, payload: Evidence): QuarantineEffect {
  return { type: "send", to, kind: "quarantine.evidence", payload };
}

// A request with this fingerprint was running before; whether it took effect is
// unknown.
function quarantinedAdmission(): Admission {
  const detail = "the request was running when servers were lost";
  const outcome = "unknown";
  const fault = callFault("quarantined", { outcome, detail });
  return { type: "quarantined", fault };
}

function rejectedAdmission(): Admission {
  const detail = "too many calls wait for a suspected request";
  const fault = callFault("no_server", {
    outcome: "unknown",
    retryAfterMs: RETRY_AFTER_MS,
    detail,
  });
  return { type: "rejected", fault };
}
