import { connect } from "node:net";
import {
  type BackendServer,
  backendServerKey,
  type Clock,
  type HostId,
} from "#model";
import {
  type Admission,
  type Evidence,
  type Fingerprint,
  Quarantine,
  type QuarantineEffect,
  type QuarantineMessages,
  type RunEnd,
  type ServerRun,
} from "#quarantine";
import type { Logger } from "#telemetry";
import type { Network } from "#wire";

/** How often old evidence is dropped. */
export const QUARANTINE_TICK_MS = 5_000;
/** A host that does not even refuse a connection by then counts as lost. */
const LOSS_CHECK_MS = 100;

/** Wait for entries that are slow or just lost. */
const SPREAD_MS = 100;
/** A restarted server announces itself well within this time. */
const UNDECIDED_MS = 10_000;

/** A request whose connection broke while a server ran it. */
export interface BrokenRun {
  readonly fingerprint: Fingerprint;
  /** When it was sent, in milliseconds of `Clock.now()`. */
  readonly startedAt: number;
}

interface UndecidedRun extends BrokenRun {
  readonly brokenAt: number;
}

/** How a call may run, once nothing has to be waited for. */
export type RunAdmission = Exclude<Admission, { type: "wait" }>;

/** Keeps requests that crash servers apart; carries out their quarantine. */
export class Suspects {
  readonly #clock: Clock;
  readonly #logger: Logger;
  readonly #network: Network<QuarantineMessages>;
  readonly #quarantine = new Quarantine();
  readonly #waiting = new Map<string, (admission: RunAdmission) => void>();
  readonly #peers = new Set<HostId>();
  /** Runs that broke off at servers of which it is open whether they crashed. */
  readonly #undecided = new Map<string, readonly UndecidedRun[]>();
  readonly #self: HostId;

  readonly #syncs = new Map<number, (from: HostId) => void>();
  #round = 0;

  constructor(options: {
    self: HostId;
    clock: Clock;
    logger: Logger;
    network: Network<QuarantineMessages>;
  }) {
    const { self, clock, logger, network } = options;
    this.#self = self;
    this.#clock = clock;
    this.#logger = logger;
    this.#network = network;
    // Messages of a connection arrive in order, so this answers for all before.
    network.handle("quarantine.sync", ({ round }, from) => {
      network.send(from.id, "quarantine.synced", { round });
    });
    network.handle("quarantine.synced", ({ round }, from) => {
      this.#syncs.get(round)?.(from.id);
    });
    network.handle("quarantine.evidence", (evidence, from) => {
      const now = clock.now();
      this.#carryOut(this.#quarantine.receive(from.id, evidence, now));
    });
  }

  /**
   * Waits until the other entries have the evidence of this one, for a moment
   * at most. The call goes on only then: a retry or a resend through an entry
   * that knows nothing would cost further servers.
   */
  async #spread(): Promise<void> {
    if (this.#peers.size === 0) return;
    this.#round += 1;
    const round = this.#round;
    const missing = new Set(this.#peers);
    for (const peer of missing) {
      this.#network.send(peer, "quarantine.sync", { round });
    }
    await new Promise<void>((resolve) => {
      const end = () => {
        clearTimeout(timer);
        this.#syncs.delete(round);
        resolve();
      };
      const timer = setTimeout(end, SPREAD_MS);
      this.#syncs.set(round, (from) => {
        missing.delete(from);
        if (missing.size === 0) end();
      });
    });
  }

  /** Decides how an attempt may run; waits behind a suspected request. */
  admit(
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
    this.#quarantine.started(attemptId, serverRun(server), now);
  }

  finished(attemptId: string, end: RunEnd): void {
    this.#waiting.delete(attemptId);
    const now = this.#clock.now();
    this.#carryOut(this.#quarantine.finished(attemptId, end, now));
  }

  /**
   * Takes a broken connection as the loss of its server, if the server does not
   * accept another one: servers also close connections that were idle. A server
   * that has restarted at once is found lost by its next announcement.
   */
  async connectionLost(server: BackendServer, run: BrokenRun): Promise<void> {
    if (server.state === "leaving") return;
    const brokenAt = this.#clock.now();
    if (!(await acceptsConnections(server))) {
      this.serverLost(server);
      await this.#spread();
      return;
    }
    const name = runName(server);
    const runs = this.#undecided.get(name) ?? [];
    this.#undecided.set(name, [...runs, { ...run, brokenAt }]);
  }

  serverLost(server: BackendServer): void {
    const now = this.#clock.now();
    this.#carryOut(this.#quarantine.serverLost(serverRun(server), now));
    const runs = this.#undecided.get(runName(server));
    if (!runs) return;
    this.#undecided.delete(runName(server));
    const losses = runs.map(({ fingerprint, startedAt, brokenAt }) => ({
      ...serverRun(server),
      ageMs: now - brokenAt,
      runs: [[fingerprint, brokenAt - startedAt] as const],
    }));
    this.#share({ losses, cleared: [] });
  }

  /** Merges evidence of this entry and tells the others. */
  #share(evidence: Evidence): void {
    const now = this.#clock.now();
    this.#carryOut(this.#quarantine.receive(this.#self, evidence, now));
    for (const peer of this.#peers) {
      this.#network.send(peer, "quarantine.evidence", evidence);
    }
  }

  peerUp(id: HostId): void {
    this.#peers.add(id);
    this.#carryOut(this.#quarantine.peerUp(id, this.#clock.now()));
  }

  peerDown(id: HostId): void {
    this.#peers.delete(id);
    this.#quarantine.peerDown(id);
  }

  tick(): void {
    const now = this.#clock.now();
    this.#quarantine.tick(now);
    for (const [name, runs] of this.#undecided) {
      const kept = runs.filter((run) => now - run.brokenAt < UNDECIDED_MS);
      if (kept.length > 0) this.#undecided.set(name, kept);
      else this.#undecided.delete(name);
    }
  }

  #carryOut(effects: readonly QuarantineEffect[]): void {
    for (const effect of effects) {
      switch (effect.type) {
        case "send":
          this.#network.send(effect.to, effect.kind, effect.payload);
          break;
        case "resume":
          this.#resume(effect.callId, effect.admission);
          break;
        case "loss_explained":
          // The server's next incarnation starts with a clean record anyway.
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

function runName(server: BackendServer): string {
  return `${backendServerKey(server)}#${server.incarnation}`;
}

function serverRun(server: BackendServer): ServerRun {
  return {
    server: backendServerKey(server),
    incarnation: server.incarnation,
    dataCentre: server.dataCentre,
  };
}

function acceptsConnections({ address }: BackendServer): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host: address.host, port: address.port });
    const end = (accepted: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(accepted);
    };
    const timer = setTimeout(() => end(false), LOSS_CHECK_MS);
    socket.once("connect", () => end(true));
    socket.once("error", () => end(false));
  });
}
