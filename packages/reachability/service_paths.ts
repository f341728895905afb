import type { BackendServer, BackendServerId, Randomness } from "#model";
import type {
  ConnectionResult,
  Fault,
  PathEffect,
  PathEvidence,
} from "./path_effects.ts";
import { CONFIRMATIONS, PathRecheck } from "./path_recheck.ts";

/** Other servers that are tried when one fails, in and outside its data centre. */
const SAMPLE_NEAR = 2;
const SAMPLE_FAR = 2;
/** Further servers that are tried before the entry counts as cut off. */
const SAMPLE_FURTHER = 4;
/**
 * Time for which a connection shows that there is a path to its data centre.
 * Servers may fail many times a second, as where they reset connections in an
 * overload, and connections cost them work.
 */
const ACCEPTED_TTL_MS = 250;
/** Servers that may fail in that time before connections are opened again. */
const MAX_FAILED_SINCE = 1;
/** Attempts that end a cut at most, where a path fails again and again. */
const CONFIRMATIONS_MAX = 16;
/** Time after the end of a cut in which a further one counts as the same. */
const FLAP_WINDOW_MS = 10_000;
/** Silence of all servers after which running calls are given up. */
const SILENCE_MS = 500;
/**
 * Age of the last answer up to which a call may still be sent: new connections
 * may fail while open ones go on working.
 */
const HEARD_RECENTLY_MS = 1_000;

/** A connection that a server has accepted. */
interface AcceptedConnection {
  readonly at: number;
  /** Servers of the data centre that have failed since. */
  readonly failedSince: Set<BackendServerId>;
}

/** The attempts that follow the failure of a server. */
interface Inquiry {
  readonly suspects: Map<BackendServerId, BackendServer>;
  readonly failedAt: Map<BackendServerId, number>;
  /** Data centres with servers that were tried. */
  readonly tried: Set<string>;
  readonly pending: Set<BackendServerId>;
  readonly accepted: Map<BackendServerId, BackendServer>;
  readonly failed: Map<BackendServerId, BackendServer>;
  /** Number of the last attempts that had no result. */
  unknownCount: number;
  /** Whether further servers were tried. */
  isWidened: boolean;
}

interface Cut {
  readonly recheck: PathRecheck;
  isSilent: boolean;
}

/**
 * The paths from this entry to the servers of one service. When a connection or
 * an answer fails, the entry opens connections to a few other servers. If none
 * of them accepts one, the entry is cut off, and no server is to blame. If only
 * those in the data centre of the failed server don't, the path to that data
 * centre is, or all of them are dead: calls avoid it until one accepts.
 * Otherwise it is the server.
 */
export class ServicePaths {
  readonly #service: string;
  readonly #random: Randomness;
  #servers: readonly BackendServer[] = [];
  #inquiry: Inquiry | undefined;
  #cut: Cut | undefined;
  readonly #lostDataCentres = new Map<string, PathRecheck>();
  /** The last connection, by data centre. */
  readonly #accepted = new Map<string, AcceptedConnection>();
  #heardAt = Number.NEGATIVE_INFINITY;
  #restoredAt = Number.NEGATIVE_INFINITY;
  #confirmationsNeeded = CONFIRMATIONS;

  constructor(service: string, random: Randomness) {
    this.#service = service;
    this.#random = random;
  }

  get isCutOff(): boolean {
    return this.#cut !== undefined;
  }

  /** Whether `tick` has anything to do. */
  get isActive(): boolean {
    return this.#cut !== undefined || this.#lostDataCentres.size > 0;
  }

  /** Servers that calls should avoid, as this entry does not reach them. */
  get unreached(): BackendServerId[] {
    if (this.#lostDataCentres.size === 0) return [];
    return this.#servers
      .filter(({ dataCentre }) => this.#lostDataCentres.has(dataCentre))
      .map(({ id }) => id);
  }

  /** Whether a server has answered so recently that calls may be sent. */
  hasAnswered(now: number): boolean {
    return now - this.#heardAt < HEARD_RECENTLY_MS;
  }

  setServers(servers: readonly BackendServer[], now: number): PathEffect[] {
    this.#servers = servers;
    if (this.#cut) return servers.length > 0 ? [] : this.#restore(now);
    const left = new Set(servers.map(({ dataCentre }) => dataCentre));
    return [...this.#lostDataCentres.keys()]
      .filter((dataCentre) => !left.has(dataCentre))
      .flatMap((dataCentre) => this.#restoreDataCentre(dataCentre, now));
  }

  /** Records an answer of any server. */
  heard(now: number): void {
    this.#heardAt = now;
  }

  /**
   * A connection to the server, or an answer of it, has failed. With `isSure`,
   * only connections that are opened from now on speak for the path.
   */
  failed(
    server: BackendServer,
    now: number,
    { isSure = false } = {},
  ): PathEffect[] {
    const isLost = this.#lostDataCentres.has(server.dataCentre);
    if (this.#cut || isLost) return [{ type: "judged", server, fault: "path" }];
    if (this.#inquiry) return this.#addSuspect(this.#inquiry, server, now);
    if (!isSure && this.#speaksForPath(server, now)) {
      return [{ type: "judged", server, fault: "server" }];
    }
    const sample = this.#sample(server);
    this.#inquiry = {
      suspects: new Map([[server.id, server]]),
      failedAt: new Map([[server.id, now]]),
      tried: new Set(sample.map(({ dataCentre }) => dataCentre)),
      pending: new Set(sample.map(({ id }) => id)),
      accepted: new Map(),
      failed: new Map(),
      unknownCount: 0,
      isWidened: false,
    };
    return sample.map((tried) => ({ type: "connect", server: tried }));
  }

  /** Another server has failed; its data centre is tried as well. */
  #addSuspect(
    inquiry: Inquiry,
    server: BackendServer,
    now: number,
  ): PathEffect[] {
    inquiry.suspects.set(server.id, server);
    inquiry.failedAt.set(server.id, now);
    if (inquiry.tried.has(server.dataCentre)) return [];
    inquiry.tried.add(server.dataCentre);
    return this.#sampleNear(server).map((near) => {
      inquiry.pending.add(near.id);
      return { type: "connect", server: near };
    });
  }

  /** Records the result of an attempt to open a connection. */
  tried(
    server: BackendServer,
    result: ConnectionResult,
    now: number,
  ): PathEffect[] {
    const isAccepted = result === "accepted";
    const { dataCentre } = server;
    if (this.#cut) {
      const isBack = this.#cut.recheck.tried(server, isAccepted, now);
      return isBack ? this.#restore(now) : [];
    }
    const lost = this.#lostDataCentres.get(dataCentre);
    const effects = lost?.tried(server, isAccepted, now)
      ? this.#restoreDataCentre(dataCentre, now)
      : [];
    return [...effects, ...this.#recordInquiry(server, result, now)];
  }

  #recordInquiry(
    server: BackendServer,
    result: ConnectionResult,
    now: number,
  ): PathEffect[] {
    const inquiry = this.#inquiry;
    if (!inquiry?.pending.delete(server.id)) return [];
    if (result === "accepted") {
      inquiry.accepted.set(server.id, server);
      const { dataCentre } = server;
      this.#accepted.set(dataCentre, { at: now, failedSince: new Set() });
    }
    if (result === "failed") inquiry.failed.set(server.id, server);
    if (result === "unknown") inquiry.unknownCount += 1;
    const isDecided = [...inquiry.suspects.values()].every((suspect) =>
      hasDataCentre(inquiry.accepted, suspect.dataCentre),
    );
    if (inquiry.pending.size > 0 && !isDecided) return [];
    const further = this.#widen(inquiry);
    if (further.length > 0) return further;
    this.#inquiry = undefined;
    return this.#conclude(inquiry, now);
  }

  tick(now: number): PathEffect[] {
    const cut = this.#cut;
    if (!cut) return this.#recheckDataCentres(now);
    const { since } = cut.recheck;
    const effects = this.#recheck(cut.recheck, this.#servers, now);
    const isSilent = now - since >= SILENCE_MS && this.#heardAt < since;
    if (isSilent && !cut.isSilent) {
      cut.isSilent = true;
      effects.push({ type: "silent", service: this.#service });
    }
    return effects;
  }

  #recheckDataCentres(now: number): PathEffect[] {
    return [...this.#lostDataCentres].flatMap(([lost, recheck]) => {
      const servers = this.#servers.filter((s) => s.dataCentre === lost);
      return this.#recheck(recheck, servers, now);
    });
  }

  #recheck(
    recheck: PathRecheck,
    servers: readonly BackendServer[],
    now: number,
  ): PathEffect[] {
    return recheck
      .serversToTry(servers, (from, count) => this.#draw(from, count), now)
      .map((server) => ({ type: "connect", server }));
  }

  /**
   * Tries further servers once if none has accepted, as many may be dead: those
   * that were not tried, and those whose attempt had no result.
   */
  #widen(inquiry: Inquiry): PathEffect[] {
    if (inquiry.accepted.size > 0 || inquiry.isWidened) return [];
    inquiry.isWidened = true;
    inquiry.unknownCount = 0;
    const open = this.#servers.filter(({ id }) => !inquiry.failed.has(id));
    return this.#draw(open, SAMPLE_FURTHER).map((server) => {
      inquiry.pending.add(server.id);
      return { type: "connect", server };
    });
  }

  #conclude(inquiry: Inquiry, now: number): PathEffect[] {
    const { suspects, accepted, failed, unknownCount } = inquiry;
    // A server whose attempt had no result may be alive.
    const isCutOff =
      accepted.size === 0 && failed.size > 0 && unknownCount === 0;
    if (isCutOff) {
      return [...this.#cutOff(inquiry, now), ...judge(suspects, () => "path")];
    }
    // Without any result, nothing is known of the suspects.
    if (accepted.size === 0) return judge(suspects, () => "path");
    const judged = judge(suspects, ({ id, dataCentre }) => {
      if (hasDataCentre(accepted, dataCentre)) return "server";
      const others = [...failed.values(), ...suspects.values()];
      const isAlone = others.every(
        (other) => other.id === id || other.dataCentre !== dataCentre,
      );
      return isAlone ? "server" : "path";
    });
    const lost = judged.flatMap((effect) =>
      effect.type === "judged" && effect.fault === "path"
        ? [effect.server.dataCentre]
        : [],
    );
    const effects = [...new Set(lost)].map((dataCentre) =>
      this.#loseDataCentre(dataCentre, inquiry, now),
    );
    return [...effects, ...judged];
  }

  #loseDataCentre(
    dataCentre: string,
    inquiry: Inquiry,
    now: number,
  ): PathEffect {
    this.#lostDataCentres.set(dataCentre, new PathRecheck(now));
    const evidence = this.#evidence(inquiry, now);
    const service = this.#service;
    return { type: "data_centre_lost", service, dataCentre, evidence };
  }

  #restoreDataCentre(dataCentre: string, now: number): PathEffect[] {
    const recheck = this.#lostDataCentres.get(dataCentre);
    if (!recheck) return [];
    this.#lostDataCentres.delete(dataCentre);
    const service = this.#service;
    const afterMs = now - recheck.since;
    return [{ type: "data_centre_restored", service, dataCentre, afterMs }];
  }

  #cutOff(inquiry: Inquiry, now: number): PathEffect[] {
    const flaps = now - this.#restoredAt < FLAP_WINDOW_MS;
    this.#confirmationsNeeded = flaps
      ? Math.min(CONFIRMATIONS_MAX, 2 * this.#confirmationsNeeded)
      : CONFIRMATIONS;
    this.#cut = {
      recheck: new PathRecheck(now, this.#confirmationsNeeded),
      isSilent: false,
    };
    const restored = [...this.#lostDataCentres.keys()].flatMap((dataCentre) =>
      this.#restoreDataCentre(dataCentre, now),
    );
    const evidence = this.#evidence(inquiry, now);
    return [...restored, { type: "cut_off", service: this.#service, evidence }];
  }

  #evidence(inquiry: Inquiry, now: number): PathEvidence {
    const servers = [...inquiry.suspects.values(), ...inquiry.failed.values()];
    const heardMsAgo = now - this.#heardAt;
    return {
      failed: [...new Set(servers.map(({ id }) => id))].map(
        (id) =>
          [id, Math.round(now - (inquiry.failedAt.get(id) ?? now))] as const,
      ),
      dataCentres: [...new Set(servers.map(({ dataCentre }) => dataCentre))],
      heardMsAgo: Number.isFinite(heardMsAgo)
        ? Math.round(heardMsAgo)
        : undefined,
    };
  }

  #restore(now: number): PathEffect[] {
    const since = this.#cut?.recheck.since ?? now;
    this.#cut = undefined;
    this.#restoredAt = now;
    const afterMs = now - since;
    return [{ type: "restored", service: this.#service, afterMs }];
  }

  /**
   * Whether a connection that was accepted shows that this failure is not due to
   * the path. It does not once several servers have failed since.
   */
  #speaksForPath({ id, dataCentre }: BackendServer, now: number): boolean {
    const accepted = this.#accepted.get(dataCentre);
    if (!accepted || now - accepted.at >= ACCEPTED_TTL_MS) return false;
    accepted.failedSince.add(id);
    return accepted.failedSince.size <= MAX_FAILED_SINCE;
  }

  /** The failed server, which may be the only live one, and others to try. */
  #sample(failed: BackendServer): BackendServer[] {
    const far = this.#servers.filter(
      ({ dataCentre }) => dataCentre !== failed.dataCentre,
    );
    return [...this.#sampleNear(failed), ...this.#draw(far, SAMPLE_FAR)];
  }

  /** The failed server and others of its data centre. */
  #sampleNear(failed: BackendServer): BackendServer[] {
    const others = this.#servers.filter(
      (server) =>
        server.dataCentre === failed.dataCentre && server.id !== failed.id,
    );
    return [failed, ...this.#draw(others, SAMPLE_NEAR)];
  }

  /** Draws some servers at random. */
  #draw(servers: readonly BackendServer[], count: number): BackendServer[] {
    const rest = [...servers];
    const drawn: BackendServer[] = [];
    while (drawn.length < count && rest.length > 0) {
      drawn.push(...rest.splice(this.#random.below(rest.length), 1));
    }
    return drawn;
  }
}

function hasDataCentre(
  servers: ReadonlyMap<BackendServerId, BackendServer>,
  dataCentre: string,
): boolean {
  return [...servers.values()].some(
    (server) => server.dataCentre === dataCentre,
  );
}

function judge(
  suspects: ReadonlyMap<BackendServerId, BackendServer>,
  faultOf: (server: BackendServer) => Fault,
): PathEffect[] {
  return [...suspects.values()].map((server) => ({
    type: "judged",
    server,
    fault: faultOf(server),
  }));
}
