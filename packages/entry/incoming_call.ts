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
import type { HostRoutes } from "#routing";

/** A request with the service and class that the document gives it. */
export interface Classified {
  readonly service: Service;
  readonly class: RequestClass;
  /** The route by host and path, if one decided. */
  readonly route?: string;
}

/** Finds services, and the class of a request within its service. */
export class Classifier {
  readonly #services: ReadonlyMap<string, Service>;
  readonly #hostRoutes: HostRoutes;

  constructor(services: readonly Service[], hostRoutes: HostRoutes) {
    this.#services = new Map(services.map((s) => [s.name, s]));
    this.#hostRoutes = hostRoutes;
  }

  service(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /** Classifies a request by its headers, method and path. */
  classify(request: IncomingMessage): Result<Classified, CallFault> {
    if (!this.#hostRoutes.empty) return this.#byHost(request);
    const name = serviceName(request);
    const service = this.#services.get(name);
    if (!service) {
      const detail = `no service is named "${name.slice(0, 64)}"`;
      return err(callFault("unknown_service", { detail }));
    }
    const method = request.method ?? "GET";
    const path = request.url ?? "/";
    const route = service.routes.find((r) => matches(r, { method, path }));
    const found = service.classes.find(({ name }) => name === route?.class);
    if (!found) {
      const detail = `no route of ${service.name} matches ${method} ${path.slice(0, 64)}`;
      return err(callFault("invalid_request", { detail }));
    }
    return ok({ service, class: found });
  }

  #byHost(request: IncomingMessage): Result<Classified, CallFault> {
    const host = request.headers.host ?? "";
    const path = (request.url ?? "/").split("?", 1)[0] ?? "/";
    const chosen = this.#hostRoutes.choose(host, path);
    const service = chosen && this.#services.get(chosen.service);
    const kind = service?.classes.find(({ name }) => name === chosen?.class);
    if (!chosen || !service || !kind) {
      const detail = `no route for ${host.slice(0, 64)}${path.slice(0, 64)}`;
      return err(callFault("unknown_route", { detail }));
    }
    return ok({ service, class: kind, route: chosen.route });
  }
}

function serviceName(request: IncomingMessage): string {
  const header = request.headers[HEADERS.service];
  if (typeof header === "string") return header;
  const host = request.headers.host ?? "";
  return host.split(/[.:]/, 1)[0] ?? "";
}

function matches(
  route: Route,
  request: { method: string; path: string },
): boolean {
  if (route.method !== undefined && route.method !== request.method) {
    return false;
  }
  return request.path.startsWith(route.path);
}
