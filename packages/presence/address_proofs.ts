import { type BackendServer, backendServerKey } from "#model";
import type { Effects } from "./effects.ts";

/**
 * What answers at a server's address: the server itself, another one, or nothing
 * that names itself.
 */
export type Identity = "same" | "other" | "unknown";

/**
 * Time for which a server's own answer counts as fresh, in milliseconds: a lease.
 * Each check counts for the rate limit of the server, and all entries check it
 * while another program goes on announcing its id.
 */
const SAME_TTL_MS = 9_000;
/** Shorter, since a server may announce itself before it answers. */
const OTHER_TTL_MS = 1_000;
/** Time after which a check without a result may be repeated. */
const PENDING_TTL_MS = 2_000;
/** Addresses that are remembered; the oldest is forgotten first. */
const MAX_ADDRESSES = 1_000;

interface Proof {
  readonly identity: Identity | undefined;
  readonly checkedAt: number;
  readonly pendingSince: number | undefined;
}

/**
 * Results of health checks that name the server, for servers of which several
 * addresses are announced. Anybody can announce an address; only the server
 * answers there with its id.
 */
export class AddressProofs {
  readonly #proofs = new Map<string, Proof>();

  /** The last result for the server's address. */
  last(server: BackendServer): Identity | undefined {
    return this.#proofs.get(proofKey(server))?.identity;
  }

  /** The result for the server's address, unless it has to be found out again. */
  fresh(server: BackendServer, now: number): Identity | undefined {
    const proof = this.#proofs.get(proofKey(server));
    return proof && isFresh(proof, now) ? proof.identity : undefined;
  }

  /** Requests a check of the server's address, unless there is a fresh result. */
  request(
    server: BackendServer,
    { now, effects }: { now: number; effects: Effects },
  ): void {
    const key = proofKey(server);
    const proof = this.#proofs.get(key);
    const { pendingSince } = proof ?? {};
    if (proof && isFresh(proof, now)) return;
    if (pendingSince !== undefined && now - pendingSince < PENDING_TTL_MS) {
      return;
    }
    this.#set(key, {
      identity: proof?.identity,
      checkedAt: proof?.checkedAt ?? now,
      pendingSince: now,
    });
    effects.verify(server);
  }

  /** Records the result of a check. */
  record(server: BackendServer, identity: Identity, now: number): void {
    this.#set(proofKey(server), {
      identity,
      checkedAt: now,
      pendingSince: undefined,
    });
  }

  #set(key: string, proof: Proof): void {
    this.#proofs.delete(key);
    const [oldest] = this.#proofs.keys();
    if (this.#proofs.size >= MAX_ADDRESSES && oldest !== undefined) {
      this.#proofs.delete(oldest);
    }
    this.#proofs.set(key, proof);
  }
}

/**
 * Whether an announcement of another address than the known one replaces the
 * record; undefined until both addresses are checked.
 */
export function decideAddress(announced: {
  /** Whether it is newer than the known record. */
  readonly isNewer: boolean;
  /**
   * Whether it names the known start. A server keeps its address for as long as it
   * runs, so that such an announcement is no restart elsewhere.
   */
  readonly isSameStart: boolean;
  readonly identity: Identity | undefined;
  readonly knownIdentity: Identity | undefined;
}): boolean | undefined {
  const { isNewer, isSameStart, identity, knownIdentity } = announced;
  if (identity === "other") return false;
  if (identity === "same" && isNewer) return true;
  if (identity === undefined || knownIdentity === undefined) return undefined;
  if (knownIdentity === "same") return false;
  if (identity === "same") return true;
  return isNewer && !(isSameStart && knownIdentity === "unknown");
}

function isFresh({ identity, checkedAt }: Proof, now: number): boolean {
  if (identity === undefined) return false;
  return now - checkedAt < (identity === "same" ? SAME_TTL_MS : OTHER_TTL_MS);
}

function proofKey(server: BackendServer): string {
  const { host, port } = server.address;
  return `${backendServerKey(server)} ${host}:${port}`;
}
