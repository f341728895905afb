import type { StorageFault } from "#agreement";

/** Carries a typed fault through code that also meets file system errors. */
export class StorageError extends Error {
  readonly fault: StorageFault;

  constructor(fault: StorageFault) {
    super(fault.type);
    this.fault = fault;
  }
}

export function corrupt(
  file: string,
  offset: number,
  detail: string,
): StorageError {
  return new StorageError({ type: "corrupt", file, offset, detail });
}

/** The fault behind anything that a file operation threw. */
export function faultOf(cause: unknown, operation: string): StorageFault {
  if (cause instanceof StorageError) return cause.fault;
  const code = (cause as NodeJS.ErrnoException | undefined)?.code ?? "UNKNOWN";
  return { type: "write_failed", operation, code, detail: String(cause) };
}
