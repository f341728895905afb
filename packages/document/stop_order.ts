import type { PlannedStop } from "#model";

/**
 * Finds stops that wait for themselves, directly or through others, each with
 * one such cycle. Iterative, because chains may be thousands of stops long.
 */
export function findCycles(
  stops: readonly Pick<PlannedStop, "name" | "after">[],
): Map<string, readonly string[]> {
  const after = new Map(stops.map((stop) => [stop.name, stop.after]));
  const finished = new Set<string>();
  const cycles = new Map<string, readonly string[]>();
  for (const { name } of stops) {
    const path: { name: string; next: number }[] = [{ name, next: 0 }];
    const onPath = new Set([name]);
    while (!finished.has(name)) {
      const top = path[path.length - 1];
      if (top === undefined) break;
      const step = after.get(top.name)?.[top.next++];
      if (step === undefined) {
        finished.add(top.name);
        onPath.delete(top.name);
        path.pop();
      } else if (onPath.has(step)) {
        const names = path.map((item) => item.name);
        const cycle = names.slice(names.indexOf(step));
        for (const member of cycle) {
          if (!cycles.has(member)) cycles.set(member, [...cycle, step]);
        }
      } else if (!finished.has(step) && after.has(step)) {
        path.push({ name: step, next: 0 });
        onPath.add(step);
      }
    }
  }
  return cycles;
}
