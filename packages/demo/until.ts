/**
 * Polls a condition until it holds. Throws after `withinMs` (20 s if absent),
 * with `what`, which names the condition.
 */
export async function until(
  condition: () => boolean | Promise<boolean>,
  options: { what: string; withinMs?: number },
): Promise<void> {
  const deadline = performance.now() + (options.withinMs ?? 20_000);
  while (!(await condition())) {
    if (performance.now() > deadline) {
      throw new Error(`timed out waiting for: ${options.what}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}
