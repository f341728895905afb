import type { BackendServer, Service } from "#model";

interface StartedServer {
  readonly record: Pick<BackendServer, "slots">;
  /** `Clock.now()` at the start of its incarnation. */
  readonly startedAt: number;
}

/**
 * Slow start of servers that have just started. The slots that it holds back
 * are capped at the share that outlier ejection may take: when most servers of
 * a service are new, holding back slots of all of them would reject calls that
 * cold servers could run.
 */
export class WarmUp {
  #service: Service;
  /** Factor from 0 to 1 by which the held slots are reduced to meet the cap. */
  #heldShare = 1;

  constructor(service: Service) {
    this.#service = service;
  }

  configure(service: Service): void {
    this.#service = service;
  }

  /** Recomputes the reduction from all servers of the service. */
  update(servers: Iterable<StartedServer>, now: number): void {
    let total = 0;
    let heldSlots = 0;
    for (const server of servers) {
      total += server.record.slots;
      heldSlots += this.#heldSlots(server, now);
    }
    const cap = (total * this.#service.ejectionMaxPercent) / 100;
    this.#heldShare = heldSlots > cap ? cap / heldSlots : 1;
  }

  /** Slots that a server may use at its age; at least one. */
  slots(server: StartedServer, now: number): number {
    const { slots } = server.record;
    const heldSlots = this.#heldSlots(server, now) * this.#heldShare;
    return Math.max(1, Math.floor(slots - heldSlots));
  }

  #heldSlots(server: StartedServer, now: number): number {
    const age = now - server.startedAt;
    const { coldStartMs } = this.#service;
    if (age >= coldStartMs) return 0;
    return server.record.slots * (1 - Math.max(0, age) / coldStartMs);
  }
}
