/** Waits until a condition holds; fails after the time given. */
export async function until(
  holds: () => boolean | Promise<boolean>,
  options: { what: string; withinMs?: number },
): Promise<void> {
  const deadline = performance.now() + (options.withinMs ?? 20_000);
  while (!(await holds())) {
    if (performance.now() > deadline) {
      throw new Error(`not within the time given: ${options.what}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}
