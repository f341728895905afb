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
/**
 * Silence of the known record, in milliseconds: four announcements. Its lease ends
 * after 9 s, so that the server's own record is there before.
 */
const MIN_SILENCE_MS = 6_000;
/** Servers that are tracked; the oldest is forgotten first. */
const MAX_SERVERS = 1_000;

interface Row {
  readonly server: BackendServer;
  readonly count: number;
  readonly at: number;
}

/**
 * Announcements that count as older than the known record, or as too far ahead of
 * it. If they go on at the known address, the known record is not the server's:
 * another program brought it.
 */
export class RefusedAnnouncements {
  readonly #rows = new Map<string, Row>();

  /**
   * Whether an announcement that does not fit is the server's. A known record with
   * a later start has to be silent, as the server's own is renewed.
   */
  isOwn(
    server: BackendServer,
    about: { known: BackendServer; silentMs: number; now: number },
  ): boolean {
    const { known, silentMs, now } = about;
    const key = backendServerKey(server);
    if (!hasSameAddress(server, known)) return false;
    const last = this.#rows.get(key);
    if (last && now - last.at < MIN_INTERVAL_MS) return false;
    const count = last && continues(last, server, now) ? last.count + 1 : 1;
    this.#rows.delete(key);
    const isSilent =
      known.incarnation === server.incarnation || silentMs >= MIN_SILENCE_MS;
    if (count >= CONFIRMATIONS && isSilent) return true;
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
