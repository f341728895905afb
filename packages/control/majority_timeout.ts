import { afterPendingInput } from "#wire";

/**
 * Longest wait for a majority, in milliseconds. Callers wait one second for a
 * reply before they try another host.
 */
export const MAJORITY_TIMEOUT_MS = 850;

type LogResult =
  | { isOk(): boolean; isErr(): boolean; error?: { type: string } }
  | undefined;

/** The type of a fault of the log, for a log line. */
export function faultTypeOf(result: LogResult): string {
  return result?.error?.type ?? "timeout";
}

/** Whether the leader did not log a command; the state decides why. */
export function isNotAdmitted(result: LogResult): boolean {
  return result?.error?.type === "not_admitted";
}

/** Resolves with the result, or with undefined after a time. */
export function withTimeout<T>(
  result: Promise<T>,
  timeoutMs = MAJORITY_TIMEOUT_MS,
): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    const giveUp = () => resolve(undefined);
    // The log settles requests one turn after it has read the messages for them.
    const giveUpNextTurn = () => afterPendingInput(giveUp);
    const timer = setTimeout(
      () => afterPendingInput(giveUpNextTurn),
      timeoutMs,
    );
    result.then((value) => {
      clearTimeout(timer);
      resolve(value);
    }, reject);
  });
}
