import type {
  DataCentre,
  Document,
  HostRoute,
  RequestClass,
  RequestLimits,
  Service,
  Tenant,
} from "#model";
import { MAX_ROUTE_TIMEOUT_MS, requestClassName } from "#model";
import type { ItemTable, ServiceItem } from "./items.ts";

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
export function withItems(document: Document, table: ItemTable): Document {
  const items = table.items();
  const needsKeys = table.hasHadTenants;
  if (items.length === 0 && !needsKeys) return document;
  const hostRoutes: HostRoute[] = [];
  const services: ServiceItem[] = [];
  const tenants: VersionedTenant[] = [];
  const evacuated: DataCentre[] = [];
  let requestLimits: RequestLimits | undefined;
  for (const { name, content, version } of items) {
    if (content.kind === "route") hostRoutes.push(content.route);
    else if (content.kind === "service") services.push(content.service);
    else if (content.kind === "limits") requestLimits = content.limits;
    else if (content.kind === "tenant")
      tenants.push({ tenant: content.tenant, version });
    else if (content.kind === "evacuation") evacuated.push(name);
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
    ...(needsKeys && { tenants: withOneHolder(tenants) }),
    ...(evacuated.length > 0 && { evacuated }),
  };
}

interface VersionedTenant {
  readonly tenant: Tenant;
  readonly version: number;
}

/**
 * Tenants such that no two hold the same key. An operator who moves a key in two
 * changes may add it to one tenant before it is removed from the other; the newer
 * item holds it then.
 */
function withOneHolder(tenants: readonly VersionedTenant[]): Tenant[] {
  const newestFirst = tenants.toSorted((a, b) => b.version - a.version);
  const holders = new Map<string, string>();
  for (const { tenant } of newestFirst) {
    for (const hash of tenant.keyHashes) {
      if (!holders.has(hash)) holders.set(hash, tenant.name);
    }
  }
  return tenants.map(({ tenant }) => ({
    ...tenant,
    keyHashes: tenant.keyHashes.filter(
      (hash) => holders.get(hash) === tenant.name,
    ),
  }));
}

function toService(item: ServiceItem, routes: readonly HostRoute[]): Service {
  const { name, healthPath, connectionsPerServer, coldRequestsPerS } = item;
  const serviceRoutes = routes.filter(({ targets }) =>
    targets.some(({ service }) => service === name),
  );
  return {
    ...SERVICE_DEFAULTS,
    name,
    healthPath,
    connectionsPerServer,
    ...(coldRequestsPerS !== undefined && { coldRequestsPerS }),
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
