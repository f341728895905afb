/**
 * Runs a callback after the input that is pending now has been read. Node runs
 * due timers before it reads from sockets; after a stall of the process, a
 * timeout would otherwise expire although the awaited message has arrived.
 */
export function afterPendingInput(run: () => void): void {
  setImmediate(run);
}

/**
 * Calls back after a time in milliseconds, when the input that arrived by then has
 * been read. For timeouts that a message ends.
 */
export function callAfterInput(run: () => void, ms: number): void {
  setTimeout(() => afterPendingInput(run), ms).unref();
}
