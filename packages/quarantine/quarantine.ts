import { type CallFault, callFault, type HostId } from "#model";
import { type EvidenceLimits, Losses } from "./losses.ts";
import type { Evidence, Fingerprint, ServerRun } from "./messages.ts";

/** How a call may run. */
export type Admission =
  | { readonly type: "run" }
  /**
   * On a server that runs nothing else, if there is one, and outside the data
   * centres in which servers were lost, if others have servers.
   */
  | { readonly type: "isolate"; readonly avoid: readonly string[] }
  /** A `resume` effect follows when the run before it has ended. */
  | { readonly type: "wait" }
  | { readonly type: "quarantined"; readonly fault: CallFault }
  /** Too many wait. */
  | { readonly type: "rejected"; readonly fault: CallFault };

export type QuarantineEffect =
  | {
      readonly type: "resume";
      readonly callId: string;
      readonly admission: Admission;
    }
  /**
   * Outlier ejection must not count this loss against the server. May come
   * more than once for a loss.
   */
  | {
      readonly type: "loss_explained";
      readonly loss: ServerRun;
      readonly fingerprint: Fingerprint;
    }
  | {
      readonly type: "send";
      readonly to: HostId;
      readonly kind: "quarantine.evidence";
      readonly payload: Evidence;
    };

/** How a call's run on a server ended. */
export type RunEnd =
  /** The server sent a complete answer of its own to a request it had begun. */
  | "answered"
  /** Anything else; it proves nothing about the request. */
  | "ended";

interface Run {
  readonly fingerprint: Fingerprint;
  server: string | undefined;
  startedAt: number;
}

/** Calls with one fingerprint that may wait for an isolated run to end. */
const MAX_WAITING = 64;
const RETRY_AFTER_MS = 1_000;

/** Finds requests that crash the servers that run them. */
export class Quarantine {
  readonly #losses: Losses;
  readonly #peers = new Set<HostId>();
  readonly #runs = new Map<string, Run>();
  readonly #servers = new Map<string, Set<string>>();
  /** The call that runs in isolation, and those behind it. */
  readonly #isolated = new Map<
    Fingerprint,
    { callId: string; readonly waiting: string[] }
  >();

  constructor(options: { limits?: EvidenceLimits } = {}) {
    this.#losses = new Losses(options.limits);
  }

  /** Numbers of remembered losses, runs on lost servers and requests. */
  get size() {
    return this.#losses.size;
  }

  /**
   * Decides how a call may run; to be asked before each attempt. Attempts that
   * run at the same time (hedges) need ids of their own.
   */
  admit(fingerprint: Fingerprint, callId: string, now: number): Admission {
    const standing = this.#losses.standing(fingerprint, now);
    if (standing === "quarantined") return quarantined();
    if (standing === "suspected") {
      const first = this.#isolated.get(fingerprint);
      if (first && first.callId !== callId) {
        if (first.waiting.length >= MAX_WAITING) {
          return rejected();
        }
        first.waiting.push(callId);
        return { type: "wait" };
      }
      if (!first) this.#isolated.set(fingerprint, { callId, waiting: [] });
    }
    this.#runs.set(callId, { fingerprint, server: undefined, startedAt: now });
    if (standing === "clean") return { type: "run" };
    const lost = this.#losses.against(fingerprint, now);
    const avoid = [...new Set(lost.map(({ dataCentre }) => dataCentre))];
    return { type: "isolate", avoid };
  }

  /** Notes that an admitted call was written to a server. */
  started(callId: string, server: ServerRun, now: number): void {
    const run = this.#runs.get(callId);
    if (!run) return;
    run.server = runName(server);
    run.startedAt = now;
    const there = this.#servers.get(run.server);
    if (there) there.add(callId);
    else this.#servers.set(run.server, new Set([callId]));
  }

  /**
   * Notes the end of an admitted attempt, or of a call that waits. After a
   * loss, `serverLost` comes first.
   */
  finished(callId: string, end: RunEnd, now: number): QuarantineEffect[] {
    const run = this.#runs.get(callId);
    if (!run) {
      this.#stopWaiting(callId);
      return [];
    }
    this.#runs.delete(callId);
    const { fingerprint, server } = run;
    if (server) {
      const there = this.#servers.get(server);
      there?.delete(callId);
      if (there?.size === 0) this.#servers.delete(server);
    }
    const effects: QuarantineEffect[] = [];
    if (end === "answered" && this.#losses.clear(fingerprint, now)) {
      const cleared = [[fingerprint, 0] as const];
      effects.push(...this.#publish({ losses: [], cleared }));
    }
    const first = this.#isolated.get(fingerprint);
    if (first?.callId !== callId) return effects;
    this.#isolated.delete(fingerprint);
    return [...effects, ...this.#resume(fingerprint, first.waiting, now)];
  }

  /**
   * Notes that a server was lost: a connection reset while a request ran, or a
   * new incarnation. Not to be called for a server that was leaving.
   */
  serverLost(server: ServerRun, now: number): QuarantineEffect[] {
    const runs = new Map<Fingerprint, number>();
    for (const callId of this.#servers.get(runName(server)) ?? []) {
      const run = this.#runs.get(callId);
      if (run) runs.set(run.fingerprint, now - run.startedAt);
    }
    const { server: id, incarnation, dataCentre } = server;
    const place = { server: id, incarnation, dataCentre };
    // A loss without runs here still tells an outage from a crash request.
    const evidence = {
      losses: [{ ...place, ageMs: 0, runs: [...runs] }],
      cleared: [],
    };
    return [...this.#merge(evidence, now), ...this.#publish(evidence)];
  }

  /** Takes a peer's evidence. */
  receive(_from: HostId, evidence: Evidence, now: number): QuarantineEffect[] {
    return this.#merge(evidence, now);
  }

  /** Sends all evidence to an entry that is reachable again, or new. */
  peerUp(id: HostId, now: number): QuarantineEffect[] {
    this.#peers.add(id);
    return [...this.#losses.reports(now)].map((payload) => send(id, payload));
  }

  peerDown(id: HostId): void {
    this.#peers.delete(id);
  }

  /** Forgets evidence whose time is over; to be called every few seconds. */
  tick(now: number): void {
    this.#losses.expire(now);
  }

  #merge(evidence: Evidence, now: number): QuarantineEffect[] {
    const touched = new Set<Fingerprint>();
    for (const report of evidence.losses) {
      for (const added of this.#losses.add(report, now)) touched.add(added);
    }
    for (const [fingerprint, ageMs] of evidence.cleared) {
      this.#losses.clear(fingerprint, now - Math.max(0, ageMs));
    }
    const effects: QuarantineEffect[] = [];
    for (const fingerprint of touched) {
      if (this.#losses.standing(fingerprint, now) !== "quarantined") continue;
      for (const loss of this.#losses.against(fingerprint, now)) {
        const { server, incarnation, dataCentre } = loss;
        const explained = { server, incarnation, dataCentre };
        effects.push({ type: "loss_explained", loss: explained, fingerprint });
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

  #stopWaiting(callId: string): void {
    for (const { waiting } of this.#isolated.values()) {
      const at = waiting.indexOf(callId);
      if (at >= 0) waiting.splice(at, 1);
    }
  }

  #publish(payload: Evidence): QuarantineEffect[] {
    return [...this.#peers].map((to) => send(to, payload));
  }
}

function runName({ server, incarnation }: ServerRun): string {
  return `${server}#${incarnation}`;
}

function send(to: HostId, payload: Evidence): QuarantineEffect {
  return { type: "send", to, kind: "quarantine.evidence", payload };
}

// The request, as its fingerprint tells, has been running before; whether it
// took effect there is not known.
function quarantined(): Admission {
  const detail = "the request was running when servers were lost";
  const outcome = "unknown";
  const fault = callFault("quarantined", { outcome, detail });
  return { type: "quarantined", fault };
}

function rejected(): Admission {
  const detail = "too many calls wait for a suspected request";
  const fault = callFault("no_server", {
    outcome: "unknown",
    retryAfterMs: RETRY_AFTER_MS,
    detail,
  });
  return { type: "rejected", fault };
}
