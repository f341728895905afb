import type { StorageFault } from "#agreement";

/** An error that carries a typed fault, as opposed to a file system error. */
export class StorageError extends Error {
  readonly fault: StorageFault;

  constructor(fault: StorageFault) {
    super(fault.type);
    this.fault = fault;
  }
}

export function corruptionError(
  file: string,
  offset: number,
  detail: string,
): StorageError {
  return new StorageError({ type: "corrupt", file, offset, detail });
}

/** Converts anything that storage code threw to a fault. */
export function toStorageFault(
  cause: unknown,
  operation: string,
): StorageFault {
  if (cause instanceof StorageError) return cause.fault;
  const code = (cause as NodeJS.ErrnoException | undefined)?.code ?? "UNKNOWN";
  return { type: "write_failed", operation, code, detail: String(cause) };
}
