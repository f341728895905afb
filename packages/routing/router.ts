import {
  type BackendServer,
  type BackendServerId,
  type Call,
  callFault,
  type DataCentre,
  type HostId,
  type Randomness,
  type Service,
  type View,
} from "#model";
import type { Message } from "#wire";
import type { CallResult, ProbeResult, RoutingEffect } from "./effects.ts";
import type { DispatchMessages } from "./messages.ts";
import { ServiceRouter } from "./service_router.ts";

const NONE: ReadonlySet<BackendServerId> = new Set();

export interface RouterOptions {
  /** The entry that this router belongs to. */
  readonly self: HostId;
  readonly dataCentre: DataCentre;
  readonly random: Randomness;
}

/**
 * Selects backend servers for the calls of one entry process, for all
 * services. `tick` is due every 5 ms.
 */
export class Router {
  readonly #options: RouterOptions;
  readonly #services = new Map<string, ServiceRouter>();
  /** The service of each call that is waiting or assigned. */
  readonly #calls = new Map<string, ServiceRouter>();
  readonly #active = new Set<ServiceRouter>();

  constructor(options: RouterOptions) {
    this.#options = options;
  }

  /** Takes over the services of the document and the view in force. */
  configure(
    services: readonly Service[],
    _view: View,
    _now: number,
  ): RoutingEffect[] {
    for (const service of services) {
      const known = this.#services.get(service.name);
      if (known) known.configure(service);
      else {
        const router = new ServiceRouter(service, this.#options);
        this.#services.set(service.name, router);
      }
    }
    return [];
  }

  /** Sets the servers of a service; calls on removed ones stay assigned. */
  setServers(
    service: string,
    servers: readonly BackendServer[],
    now: number,
  ): RoutingEffect[] {
    return this.#services.get(service)?.setServers(servers, now) ?? [];
  }

  /**
   * Asks for a server. Exactly one assign or reject follows, now or later,
   * unless the call is cancelled first. After a failed attempt the same call
   * may be submitted again, with the servers to exclude.
   */
  submit(
    call: Call,
    options: { exclude?: ReadonlySet<BackendServerId>; now: number },
  ): RoutingEffect[] {
    const router = this.#services.get(call.service);
    if (!router) {
      const fault = callFault("unknown_service");
      return [{ type: "reject", callId: call.id, fault }];
    }
    const { exclude = NONE, now } = options;
    this.#calls.set(call.id, router);
    this.#active.add(router);
    return this.#settle(router.submit(call, { exclude, now }));
  }

  /** Reports the end of an assigned call and frees its slot. */
  finish(callId: string, result: CallResult, now: number): RoutingEffect[] {
    const router = this.#calls.get(callId);
    if (!router) return [];
    this.#calls.delete(callId);
    return this.#settle(router.finish(callId, result, now));
  }

  /** Gives up a call, waiting or assigned; no effect for it follows. */
  cancel(callId: string, now: number): RoutingEffect[] {
    const router = this.#calls.get(callId);
    if (!router) return [];
    this.#calls.delete(callId);
    return this.#settle(router.cancel(callId, now));
  }

  /** Reports the answer of a probe. */
  probed(
    _server: Pick<BackendServer, "service" | "id">,
    _result: ProbeResult,
    _now: number,
  ): RoutingEffect[] {
    return [];
  }

  /** Takes a message of another entry. */
  receive(
    _from: HostId,
    _message: Message<DispatchMessages>,
    _now: number,
  ): RoutingEffect[] {
    return [];
  }

  /** The connection to another entry is lost. */
  peerDown(_id: HostId, _now: number): RoutingEffect[] {
    return [];
  }

  /** Advances time: expired calls, retries, probes. */
  tick(now: number): RoutingEffect[] {
    const effects: RoutingEffect[] = [];
    for (const router of this.#active) {
      effects.push(...router.tick(now));
      if (router.idle) this.#active.delete(router);
    }
    return this.#settle(effects);
  }

  #settle(effects: RoutingEffect[]): RoutingEffect[] {
    for (const effect of effects) {
      if (effect.type === "reject") this.#calls.delete(effect.callId);
    }
    return effects;
  }
}
