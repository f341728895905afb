import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import {
  type CallFault,
  callFault,
  HEADERS,
  type RequestClass,
  type Route,
  type Service,
} from "#model";
import type { HostRoutes, RoutedRequest } from "#routing";

/** The service and class of a request according to the configuration. */
export interface ClassifiedRequest {
  readonly service: Service;
  readonly class: RequestClass;
  /** The host route, if host routes are configured. */
  readonly route?: RoutedRequest;
}

/** Determines the service and class of requests. */
export class RequestClassifier {
  readonly #services: ReadonlyMap<string, Service>;
  readonly #hostRoutes: HostRoutes;

  constructor(services: readonly Service[], hostRoutes: HostRoutes) {
    this.#services = new Map(services.map((s) => [s.name, s]));
    this.#hostRoutes = hostRoutes;
  }

  service(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /** Classifies a request by its host, headers, method and path. */
  classify(request: IncomingMessage): Result<ClassifiedRequest, CallFault> {
    if (!this.#hostRoutes.empty) return this.#classifyByHost(request);
    const name = serviceName(request);
    const service = this.#services.get(name);
    if (!service) {
      const detail = `no service is named "${name.slice(0, 64)}"`;
      return err(callFault("unknown_service", { detail }));
    }
    const method = request.method ?? "GET";
    const path = request.url ?? "/";
    const route = service.routes.find((r) => routeMatches(r, { method, path }));
    const requestClass = service.classes.find(
      ({ name }) => name === route?.class,
    );
    if (!requestClass) {
      const detail = `no route of ${service.name} matches ${method} ${path.slice(0, 64)}`;
      return err(callFault("invalid_request", { detail }));
    }
    return ok({ service, class: requestClass });
  }

  #classifyByHost(
    request: IncomingMessage,
  ): Result<ClassifiedRequest, CallFault> {
    const host = request.headers.host ?? "";
    const path = (request.url ?? "/").split("?", 1)[0] ?? "/";
    const target = this.#hostRoutes.choose(host, path);
    const service = target && this.#services.get(target.service);
    const requestClass = service?.classes.find(
      ({ name }) => name === target?.class,
    );
    if (!target || !service || !requestClass) {
      const detail = `no route for ${host.slice(0, 64)}${path.slice(0, 64)}`;
      return err(callFault("unknown_route", { detail }));
    }
    return ok({ service, class: requestClass, route: target });
  }
}

function serviceName(request: IncomingMessage): string {
  const header = request.headers[HEADERS.service];
  if (typeof header === "string") return header;
  const host = request.headers.host ?? "";
  return host.split(/[.:]/, 1)[0] ?? "";
}

function routeMatches(
  route: Route,
  request: { method: string; path: string },
): boolean {
  if (route.method !== undefined && route.method !== request.method) {
    return false;
  }
  return request.path.startsWith(route.path);
}
