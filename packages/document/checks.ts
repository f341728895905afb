import type { z } from "zod";
import { oneOf } from "./fields.ts";
import type { RefinementFault } from "./source.ts";

/**
 * Highest sum of the budgets for probes and for retries, so that first attempts
 * keep at least half of a service's capacity.
 */
export const MAX_TOTAL_BUDGET_PERCENT = 50;

interface CheckedRoute {
  readonly method?: string | undefined;
  readonly path: string;
  readonly class: string;
}

interface CheckedService {
  readonly measuring_budget_percent: number;
  readonly retry_budget_percent?: number | undefined;
  readonly slots_per_server: number;
  readonly connections_per_server: number;
  readonly classes: Readonly<Record<string, { readonly repeatable: boolean }>>;
  readonly routes: readonly CheckedRoute[];
}

type Context = z.core.$RefinementCtx;

function addIssue(
  context: Context,
  path: PropertyKey[],
  fault: RefinementFault & { readonly expected: string },
): void {
  const { expected: message, ...params } = fault;
  context.addIssue({ code: "custom", path, message, params });
}

/** Checks the constraints between different keys of a service. */
export function checkService(service: CheckedService, context: Context): void {
  const classes = Object.values(service.classes);
  if (classes.length === 0) {
    const expected = "at least one class";
    addIssue(context, ["classes"], { type: "missing_key", expected });
  }
  const measuring = service.measuring_budget_percent;
  const retries = service.retry_budget_percent ?? 0;
  if (measuring + retries > MAX_TOTAL_BUDGET_PERCENT) {
    addIssue(context, ["retry_budget_percent"], {
      type: "budget_exceeded",
      expected: `at most ${MAX_TOTAL_BUDGET_PERCENT} together with measuring_budget_percent`,
      found: measuring + retries,
    });
  }
  const mayRetry = classes.some(({ repeatable }) => repeatable);
  if (retries > 0 && classes.length > 0 && !mayRetry) {
    addIssue(context, ["retry_budget_percent"], {
      type: "retry_forbidden",
      expected: "0, because no class of the service is repeatable",
      found: retries,
    });
  }
  const { slots_per_server: slots, connections_per_server: found } = service;
  if (found < slots) {
    addIssue(context, ["connections_per_server"], {
      type: "budget_exceeded",
      expected: `at least slots_per_server (${slots}), because each running call holds a connection`,
      found,
    });
  }
  service.routes.forEach((_, index) => {
    checkRoute(service, { index, context });
  });
}

function checkRoute(
  service: CheckedService,
  { index, context }: { index: number; context: Context },
): void {
  const route = service.routes[index];
  if (route === undefined) return;
  if (!Object.hasOwn(service.classes, route.class)) {
    addIssue(context, ["routes", index, "class"], {
      type: "unknown_class",
      expected: oneOf(Object.keys(service.classes), "class"),
      found: route.class,
    });
  }
  const earlier = service.routes.findIndex((other) =>
    matchesAllOf(other, route),
  );
  if (earlier < index) {
    addIssue(context, ["routes", index], {
      type: "unreachable_route",
      expected: `requests that routes.${earlier} does not match already`,
      found: route.path,
    });
  }
}

function matchesAllOf(earlier: CheckedRoute, later: CheckedRoute): boolean {
  const method =
    earlier.method === undefined || earlier.method === later.method;
  return method && later.path.startsWith(earlier.path);
}

/** Checks that a stop has either a data centre or a list of servers. */
export function checkStop(
  stop: {
    readonly data_centre?: string | undefined;
    readonly servers?: readonly string[] | undefined;
  },
  context: Context,
): void {
  if ((stop.data_centre === undefined) !== (stop.servers === undefined)) return;
  const expected = "exactly one of data_centre and servers";
  addIssue(context, [], { type: "invalid_value", expected });
}
