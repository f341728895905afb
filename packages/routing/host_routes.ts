import {
  type HostRoute,
  type Randomness,
  requestClassName,
  type WeightedService,
} from "#model";

/** The route, service and class of a request. */
export interface RoutedRequest {
  readonly route: string;
  readonly service: string;
  /** Name of the request class at the service. */
  readonly class: string;
  /** Urgency among the routes; 0 is the most urgent. */
  readonly rank: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
}

/**
 * Multiples of it, modulo 1, cover an interval more evenly than random points.
 */
const GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;

/**
 * Finds a request's route by its host and the longest path prefix, and divides
 * the requests of a route among its services by weight. Each entry starts at
 * another point of the same evenly distributed sequence, so that the shares
 * hold over all entries after a few requests.
 */
export class HostRoutes {
  readonly #randomness: Randomness;
  #byHost = new Map<string, HostRoute[]>();
  #lastPoints = new Map<string, number>();

  constructor(randomness: Randomness) {
    this.#randomness = randomness;
  }

  get empty(): boolean {
    return this.#byHost.size === 0;
  }

  configure(routes: readonly HostRoute[]): void {
    this.#byHost = new Map();
    for (const route of routes) {
      const known = this.#byHost.get(route.host);
      if (known) known.push(route);
      else this.#byHost.set(route.host, [route]);
    }
    for (const list of this.#byHost.values()) {
      list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    const names = new Set(routes.map(({ name }) => name));
    for (const name of this.#lastPoints.keys()) {
      if (!names.has(name)) this.#lastPoints.delete(name);
    }
  }

  /** The route and service for a request; undefined if no route matches. */
  choose(host: string, path: string): RoutedRequest | undefined {
    const routes = this.#byHost.get(hostName(host)) ?? [];
    const route = routes.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    if (!route) return undefined;
    return {
      route: route.name,
      service: this.#pickService(route),
      class: requestClassName(route),
      rank: route.rank,
      isPublic: route.isPublic === true,
    };
  }

  #pickService({ name, targets }: HostRoute): string {
    const [only] = targets;
    if (only && targets.length === 1) return only.service;
    const last = this.#lastPoints.get(name) ?? this.#randomness.next();
    const point = (last + GOLDEN_RATIO) % 1;
    this.#lastPoints.set(name, point);
    return serviceAt(targets, point);
  }
}

/** The service at a point in [0, 1) of the cumulative weights. */
function serviceAt(targets: readonly WeightedService[], point: number): string {
  const sum = targets.reduce((sum, { weight }) => sum + weight, 0);
  // Weights of an earlier build may add up to more than a number can be.
  const scale = Number.isFinite(sum) ? 1 : 0.5 / targets.length;
  const total = targets.reduce((sum, { weight }) => sum + weight * scale, 0);
  let rest = point * total;
  for (const { service, weight } of targets) {
    rest -= weight * scale;
    if (rest < 0) return service;
  }
  return targets.findLast(({ weight }) => weight > 0)?.service ?? "";
}

function hostName(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}
