/** Bounds of a process on what all its clients together make it hold. */
export interface ClientBounds {
  /** Bytes of bodies, heads, unsent answers and connections. */
  readonly heldBytesMax: number;
  /**
   * Resident memory of the process from which connections that hold much are
   * bounded by so much less.
   */
  readonly residentBytesMax: number;
  /** Open connections of clients. */
  readonly connectionsMax: number;
}

/** What a host gives to one process. */
export interface HostResources {
  readonly memoryMb: number | undefined;
  readonly descriptorsMax: number | undefined;
}

/**
 * Part of the memory that clients may make a process hold. The program takes 90 to
 * 120 MB of the smallest host's 202 MB, and garbage up to as much as is held.
 */
const CLIENT_MEMORY_SHARE = 1 / 6;
/** Descriptors that the platform keeps for files. */
const FILE_DESCRIPTORS = 200;
/** Part of the other descriptors that clients may use. */
const CLIENT_DESCRIPTOR_SHARE = 3 / 4;
/** Part of them that connections to servers may use; peers and control use the rest. */
const SERVER_DESCRIPTOR_SHARE = 3 / 16;
/**
 * Part of the memory that the process may take before clients may hold less: 141 MB of
 * 202 MB. It is reached by garbage and by memory that the allocator does not return.
 */
const RESIDENT_MEMORY_SHARE = 0.7;
const BYTES_PER_MB = 1_000_000;

/** The bounds that follow from a host's resources; unbounded where they are unknown. */
export function clientBounds({
  memoryMb,
  descriptorsMax,
}: HostResources): ClientBounds {
  return {
    heldBytesMax:
      memoryMb === undefined
        ? Number.POSITIVE_INFINITY
        : memoryMb * BYTES_PER_MB * CLIENT_MEMORY_SHARE,
    residentBytesMax:
      memoryMb === undefined
        ? Number.POSITIVE_INFINITY
        : memoryMb * BYTES_PER_MB * RESIDENT_MEMORY_SHARE,
    connectionsMax: descriptorShare(descriptorsMax, CLIENT_DESCRIPTOR_SHARE),
  };
}

/** The bound on open connections to servers that follows from a host's descriptors. */
export function serverConnectionsMax(
  descriptorsMax: number | undefined,
): number {
  return descriptorShare(descriptorsMax, SERVER_DESCRIPTOR_SHARE);
}

function descriptorShare(
  descriptorsMax: number | undefined,
  share: number,
): number {
  if (descriptorsMax === undefined) return Number.POSITIVE_INFINITY;
  return Math.max(1, Math.floor((descriptorsMax - FILE_DESCRIPTORS) * share));
}
