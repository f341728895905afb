import type { PlannedStop } from "#model";

/**
 * Finds the stops that are part of a dependency cycle, each with one such
 * cycle. The search is iterative, because chains of stops may be thousands
 * long.
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
      const dependency = after.get(top.name)?.[top.next++];
      if (dependency === undefined) {
        finished.add(top.name);
        onPath.delete(top.name);
        path.pop();
      } else if (onPath.has(dependency)) {
        const names = path.map((item) => item.name);
        const cycle = names.slice(names.indexOf(dependency));
        for (const member of cycle) {
          if (!cycles.has(member)) cycles.set(member, [...cycle, dependency]);
        }
      } else if (!finished.has(dependency) && after.has(dependency)) {
        path.push({ name: dependency, next: 0 });
        onPath.add(dependency);
      }
    }
  }
  return cycles;
}
