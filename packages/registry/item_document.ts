import type {
  Document,
  HostRoute,
  RequestClass,
  RequestLimits,
  Service,
} from "#model";
import { MAX_ROUTE_TIMEOUT_MS, requestClassName } from "#model";
import type { Item, ServiceItem } from "./items.ts";

/** Settings of services that are configured by items only. */
const SERVICE_DEFAULTS = {
  // Responses report the servers' load; a probe would only take a slot away.
  measuringBudgetPercent: 0,
  retryBudgetPercent: 10,
  ejectionMaxPercent: 50,
  drainLimitS: 60,
  coldStartMs: 0,
  queueLength: 1_000,
  slotsPerServer: 1,
} as const;

/** Adds the items to a document; a service of a section takes precedence. */
export function withItems(
  document: Document,
  items: readonly Item[],
): Document {
  if (items.length === 0) return document;
  const hostRoutes: HostRoute[] = [];
  const services: ServiceItem[] = [];
  let requestLimits: RequestLimits | undefined;
  for (const { content } of items) {
    if (content.kind === "route") hostRoutes.push(content.route);
    else if (content.kind === "service") services.push(content.service);
    else requestLimits = content.limits;
  }
  const sectionServices = new Set(document.services.map(({ name }) => name));
  const added = services
    .filter(({ name }) => !sectionServices.has(name))
    .map((service) => toService(service, hostRoutes));
  return {
    ...document,
    services: [...document.services, ...added].sort((a, b) =>
      a.name < b.name ? -1 : 1,
    ),
    hostRoutes,
    requestLimits,
  };
}

function toService(item: ServiceItem, routes: readonly HostRoute[]): Service {
  const { name, healthPath, connectionsPerServer } = item;
  const serviceRoutes = routes.filter(({ targets }) =>
    targets.some(({ service }) => service === name),
  );
  return {
    ...SERVICE_DEFAULTS,
    name,
    healthPath,
    connectionsPerServer,
    classes: classesOf(serviceRoutes),
    routes: [],
  };
}

/** The request classes of routes; routes with equal parameters share one. */
function classesOf(routes: readonly HostRoute[]): RequestClass[] {
  const highestRank = Math.min(...routes.map(({ rank }) => rank));
  const classes = new Map<string, RequestClass>();
  for (const route of routes) {
    const name = requestClassName(route);
    classes.set(name, {
      name,
      priority: route.rank === highestRank ? "urgent" : "patient",
      deadlineMs: route.timeoutMs,
      // A later answer is never in time; dispatchers refuse times without bound.
      targetMs: Math.min(route.targetMs, MAX_ROUTE_TIMEOUT_MS),
      repeatable: route.repeatable,
      identity: "request",
      attempts: route.attempts,
    });
  }
  return [...classes.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
}
