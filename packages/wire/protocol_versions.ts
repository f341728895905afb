/** A range of versions of the messages between mangobank's own processes. */
export interface VersionRange {
  readonly oldest: number;
  readonly newest: number;
}

/**
 * The versions that this build speaks. Two processes use the newest that both
 * speak, so that a host can be upgraded, and the upgrade taken back, while the
 * others run the former build.
 *
 * A field may be added without a new version if a build that does not know it can
 * ignore it, and its absence means what it meant before. A message that is new or
 * means something else needs a new `newest`, and is sent only over links that agreed
 * on that version. `oldest` rises when no build in use speaks it any more.
 */
export const PROTOCOL_VERSIONS: VersionRange = { oldest: 1, newest: 1 };

/** The versions in a hello. */
export interface NamedVersions {
  /** The oldest version that the sender speaks. */
  readonly version: number;
  /** The newest one; that in `version` if absent, as in builds before it. */
  readonly newestVersion?: number;
}

/** The newest version that both ends speak; undefined if there is none. */
export function commonVersion(
  own: NamedVersions,
  peer: NamedVersions,
): number | undefined {
  const newest = Math.min(newestOf(own), newestOf(peer));
  const oldest = Math.max(own.version, peer.version);
  return newest >= oldest ? newest : undefined;
}

/** The versions for log lines, such as `1` or `2 to 4`. */
export function describeVersions(named: NamedVersions): string {
  const { version } = named;
  const newest = newestOf(named);
  return newest === version ? String(version) : `${version} to ${newest}`;
}

function newestOf({ version, newestVersion }: NamedVersions): number {
  return newestVersion ?? version;
}
