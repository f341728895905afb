const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/**
 * Resolves at the first signal that asks the process to stop. Later ones change
 * nothing: their default action would end the process and cut its calls.
 */
export function stopSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of STOP_SIGNALS) process.on(signal, () => resolve());
  });
}
