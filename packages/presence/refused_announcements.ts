import { type BackendServer, backendServerKey, hasSameAddress } from "#model";
import { MAX_SEQUENCE_STEP } from "./plausibility.ts";

/** Announcements in a row that a server's own sequence needs to be known. */
const CONFIRMATIONS = 3;
/**
 * Shortest time between two of them, in milliseconds. Servers announce
 * themselves each 1.5 s; late announcements arrive together.
 */
const MIN_INTERVAL_MS = 1_000;
/** Time after which a row counts as ended: a lease. */
const MAX_INTERVAL_MS = 9_000;
/** Servers that are tracked; the oldest is forgotten first. */
const MAX_SERVERS = 1_000;

interface Row {
  readonly server: BackendServer;
  readonly count: number;
  readonly at: number;
}

/**
 * Announcements whose sequence does not fit the known record. If they go on with
 * a sequence of their own at the known address, the known sequence is not the
 * server's: another program brought it.
 */
export class RefusedAnnouncements {
  readonly #rows = new Map<string, Row>();

  /** Whether an announcement with a sequence that does not fit is the server's. */
  isOwn(
    server: BackendServer,
    { known, now }: { known: BackendServer; now: number },
  ): boolean {
    const key = backendServerKey(server);
    if (!hasSameAddress(server, known)) return false;
    const last = this.#rows.get(key);
    if (last && now - last.at < MIN_INTERVAL_MS) return false;
    const count = last && continues(last, server, now) ? last.count + 1 : 1;
    this.#rows.delete(key);
    if (count >= CONFIRMATIONS) return true;
    if (this.#rows.size >= MAX_SERVERS) this.#forgetOldest();
    this.#rows.set(key, { server, count, at: now });
    return false;
  }

  #forgetOldest(): void {
    const [oldest] = this.#rows.keys();
    if (oldest !== undefined) this.#rows.delete(oldest);
  }
}

function continues(last: Row, server: BackendServer, now: number): boolean {
  const step = server.sequence - last.server.sequence;
  return (
    now - last.at <= MAX_INTERVAL_MS &&
    last.server.incarnation === server.incarnation &&
    step > 0 &&
    step <= MAX_SEQUENCE_STEP
  );
}
