import {
  type BackendServer,
  backendServerKey,
  type Clock,
  callFault,
  type HostId,
} from "#model";
import {
  type Admission,
  type Evidence,
  type Fingerprint,
  Quarantine,
  type QuarantineEffect,
  type QuarantineMessages,
  type RunOutcome,
  type ServerIncarnation,
} from "#quarantine";
import type { ConnectionResult } from "#reachability";
import type { Logger } from "#telemetry";
import type { Network } from "#wire";
import { CoalescedChecks } from "./coalesced_checks.ts";
import { tryConnection } from "./connection_check.ts";
import { PeerConnectionChecks } from "./peer_connection_checks.ts";

/** How often expired evidence is removed. */
export const QUARANTINE_TICK_MS = 5_000;
/** A server that neither accepts nor refuses a connection by then is lost. */
const LOSS_CHECK_TIMEOUT_MS = 100;

/** Longest wait for the acknowledgement of entries that are slow or lost. */
const SYNC_TIMEOUT_MS = 100;
/** Longer than a restarted server needs to announce itself. */
const UNCONFIRMED_LOSS_RETENTION_MS = 10_000;

/** A request whose connection was lost while a server processed it. */
export interface InterruptedRun {
  readonly fingerprint: Fingerprint;
  /** When it was sent, in milliseconds of `Clock.now()`. */
  readonly startedAt: number;
}

/** An interrupted request whose server may or may not have crashed. */
interface UnconfirmedLoss extends InterruptedRun {
  readonly interruptedAt: number;
}

/** A server that interrupted requests and still accepted a connection. */
interface UnconfirmedServerLoss {
  readonly server: BackendServer;
  readonly runs: readonly UnconfirmedLoss[];
}

/** How an attempt may run, after any wait for an earlier one. */
export type RunAdmission = Exclude<Admission, { type: "wait" }>;

/**
 * Detects requests that crash servers and quarantines them, together with the
 * other entries.
 */
export class QuarantineCoordinator {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #network: Network<QuarantineMessages>;
  readonly #quarantine = new Quarantine();
  readonly #waiting = new Map<string, (admission: RunAdmission) => void>();
  readonly #peers = new Set<HostId>();
  /** Servers that interrupted requests, by incarnation. */
  readonly #unconfirmedLosses = new Map<string, UnconfirmedServerLoss>();
  /** Attempts that wait for a check of servers that may have crashed. */
  readonly #checking = new Set<string>();
  readonly #lossChecks = new CoalescedChecks<ConnectionResult>();
  readonly #self: HostId;
  readonly #peerChecks: PeerConnectionChecks;
  readonly #isCutOff: (server: BackendServer) => Promise<boolean>;
  #forwardsEvidence = false;

  readonly #syncs = new Map<number, (from: HostId) => void>();
  #round = 0;

  constructor(options: {
    self: HostId;
    clock: Clock;
    logger: Logger;
    network: Network<QuarantineMessages>;
    /** Finds out whether this entry reaches no server of the service at all. */
    isCutOff: (server: BackendServer) => Promise<boolean>;
  }) {
    const { self, clock, logger, network, isCutOff } = options;
    this.#isCutOff = isCutOff;
    this.#peerChecks = new PeerConnectionChecks({ network, clock, logger });
    this.#self = self;
    this.#clock = clock;
    this.#logger = logger;
    this.#network = network;
    // Messages of a connection arrive in order, so this acknowledges all
    // before.
    network.handle("quarantine.sync", ({ round }, from) => {
      network.send(from.id, "quarantine.synced", { round });
    });
    network.handle("quarantine.synced", ({ round }, from) => {
      this.#syncs.get(round)?.(from.id);
    });
    network.handle("quarantine.evidence", (evidence, from) => {
      const now = clock.now();
      const forward = this.#forwardsEvidence;
      this.#execute(
        this.#quarantine.receive(from.id, evidence, { now, forward }),
      );
    });
  }

  /** Sets whether the peers are only a part of the entries. */
  setForwarding(forwardsEvidence: boolean): void {
    this.#forwardsEvidence = forwardsEvidence;
  }

  /**
   * Waits until the other entries have received the evidence of this one, up to
   * a timeout. The call continues only then, since a retry or resend through an
   * entry without the evidence would crash further servers.
   */
  async #awaitPeerSync(): Promise<void> {
    if (this.#peers.size === 0) return;
    this.#round += 1;
    const round = this.#round;
    const unacknowledged = new Set(this.#peers);
    for (const peer of unacknowledged) {
      this.#network.send(peer, "quarantine.sync", { round });
    }
    await new Promise<void>((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.#syncs.delete(round);
        resolve();
      };
      const timer = setTimeout(finish, SYNC_TIMEOUT_MS);
      this.#syncs.set(round, (from) => {
        unacknowledged.delete(from);
        if (unacknowledged.size === 0) finish();
      });
    });
  }

  /**
   * Decides how an attempt may run; queues behind a suspected request. Servers
   * that interrupted the same request before are checked again first: a process
   * that crashes may accept connections until all its sockets are closed.
   */
  admit(
    fingerprint: Fingerprint,
    attemptId: string,
  ): RunAdmission | Promise<RunAdmission> {
    const servers = this.#serversThatInterrupted(fingerprint);
    if (servers.length === 0) return this.#admit(fingerprint, attemptId);
    return this.#admitAfterCheck(servers, { fingerprint, attemptId });
  }

  async #admitAfterCheck(
    servers: readonly BackendServer[],
    attempt: { fingerprint: Fingerprint; attemptId: string },
  ): Promise<RunAdmission> {
    const { fingerprint, attemptId } = attempt;
    this.#checking.add(attemptId);
    const isLost = await Promise.all(servers.map((s) => this.#isLost(s)));
    const lost = servers.filter((_, index) => isLost[index]);
    for (const server of lost) this.serverLost(server);
    if (lost.length > 0) await this.#awaitPeerSync();
    // An attempt that has ended meanwhile must not hold the isolated run.
    if (!this.#checking.delete(attemptId)) {
      return { type: "rejected", fault: callFault("deadline_expired") };
    }
    return this.#admit(fingerprint, attemptId);
  }

  #serversThatInterrupted(fingerprint: Fingerprint): BackendServer[] {
    const servers: BackendServer[] = [];
    for (const { server, runs } of this.#unconfirmedLosses.values()) {
      if (runs.some((run) => run.fingerprint === fingerprint)) {
        servers.push(server);
      }
    }
    return servers;
  }

  #admit(
    fingerprint: Fingerprint,
    attemptId: string,
  ): RunAdmission | Promise<RunAdmission> {
    const now = this.#clock.now();
    const admission = this.#quarantine.admit(fingerprint, attemptId, now);
    if (admission.type !== "wait") return admission;
    return new Promise((resolve) => this.#waiting.set(attemptId, resolve));
  }

  started(attemptId: string, server: BackendServer): void {
    const now = this.#clock.now();
    this.#quarantine.started(attemptId, serverIncarnation(server), now);
  }

  finished(attemptId: string, end: RunOutcome): void {
    this.#waiting.delete(attemptId);
    this.#checking.delete(attemptId);
    const now = this.#clock.now();
    this.#execute(this.#quarantine.finished(attemptId, end, now));
  }

  /**
   * Handles a lost connection. The server counts as lost if it accepts no new
   * connection; otherwise it may just have closed an idle one. A server that
   * has already restarted is detected as lost by its next announcement.
   */
  async connectionLost(
    server: BackendServer,
    run: InterruptedRun,
  ): Promise<void> {
    if (server.state === "leaving") return;
    const interruptedAt = this.#clock.now();
    if (await this.#isLost(server)) {
      this.serverLost(server);
      await this.#awaitPeerSync();
      return;
    }
    const runId = incarnationKey(server);
    const runs = this.#unconfirmedLosses.get(runId)?.runs ?? [];
    this.#unconfirmedLosses.set(runId, {
      server,
      runs: [...runs, { ...run, interruptedAt }],
    });
  }

  /**
   * Whether a server accepts connections of no entry. One that this entry does
   * not reach may be cut off from it, and run on.
   */
  async #isLost(server: BackendServer): Promise<boolean> {
    const result = await this.#lossChecks.run(incarnationKey(server), () =>
      tryConnection(server.address, {
        timeoutMs: LOSS_CHECK_TIMEOUT_MS,
        clock: this.#clock,
      }),
    );
    if (result !== "failed") return false;
    if (await this.#isCutOff(server)) return false;
    if (await this.#peerChecks.isReached(server, [...this.#peers]))
      return false;
    // A cut may have begun meanwhile, of this entry and of those asked.
    return !(await this.#isCutOff(server));
  }

  serverLost(server: BackendServer): void {
    const now = this.#clock.now();
    this.#execute(this.#quarantine.serverLost(serverIncarnation(server), now));
    const runs = this.#unconfirmedLosses.get(incarnationKey(server))?.runs;
    if (!runs) return;
    this.#unconfirmedLosses.delete(incarnationKey(server));
    const losses = runs.map(({ fingerprint, startedAt, interruptedAt }) => ({
      ...serverIncarnation(server),
      ageMs: now - interruptedAt,
      runs: [[fingerprint, interruptedAt - startedAt] as const],
    }));
    this.#publishEvidence({ losses, cleared: [] });
  }

  /** Adds evidence of this entry and sends it to the other entries. */
  #publishEvidence(evidence: Evidence): void {
    const now = this.#clock.now();
    const own = { now, forward: false };
    this.#execute(this.#quarantine.receive(this.#self, evidence, own));
    for (const peer of this.#peers) {
      this.#network.send(peer, "quarantine.evidence", evidence);
    }
  }

  peerUp(id: HostId): void {
    this.#peers.add(id);
    this.#execute(this.#quarantine.peerUp(id, this.#clock.now()));
  }

  peerDown(id: HostId): void {
    this.#peers.delete(id);
    this.#quarantine.peerDown(id);
  }

  tick(): void {
    const now = this.#clock.now();
    this.#quarantine.tick(now);
    for (const [runId, { server, runs }] of this.#unconfirmedLosses) {
      const kept = runs.filter(
        (run) => now - run.interruptedAt < UNCONFIRMED_LOSS_RETENTION_MS,
      );
      if (kept.length > 0) {
        this.#unconfirmedLosses.set(runId, { server, runs: kept });
      } else this.#unconfirmedLosses.delete(runId);
    }
  }

  #execute(effects: readonly QuarantineEffect[]): void {
    for (const effect of effects) {
      switch (effect.type) {
        case "send":
          this.#network.send(effect.to, effect.kind, effect.payload);
          break;
        case "resume":
          this.#resume(effect.callId, effect.admission);
          break;
        case "loss_attributed":
          // Only logged: the server's next incarnation has no failures counted.
          this.#logger.warn("server lost to a request in quarantine", {
            server: effect.loss.server,
            incarnation: effect.loss.incarnation,
            fingerprint: effect.fingerprint,
          });
      }
    }
  }

  #resume(attemptId: string, admission: Admission): void {
    const resume = this.#waiting.get(attemptId);
    this.#waiting.delete(attemptId);
    if (admission.type !== "wait") resume?.(admission);
  }
}

function incarnationKey(server: BackendServer): string {
  return `${backendServerKey(server)}#${server.incarnation}`;
}

function serverIncarnation(server: BackendServer): ServerIncarnation {
  return {
    server: backendServerKey(server),
    incarnation: server.incarnation,
    dataCentre: server.dataCentre,
  };
}
