import { err, ok, type Result } from "neverthrow";
import type { BackendServer, Call, CallFault, Clock } from "#model";
import type {
  AssignmentBasis,
  CallResult,
  CheckResult,
  DispatchMessages,
  ProbeResult,
  Router,
  RoutingEffect,
} from "#routing";
import { kindsOf, type Message, type Network } from "#wire";

export interface AssignmentsOptions {
  readonly router: Router;
  readonly clock: Clock;
  readonly network: Network<DispatchMessages>;
  readonly probe: (server: BackendServer) => Promise<ProbeResult>;
  /** Asks a server how fast it is, before a call goes there. */
  readonly check: (server: BackendServer) => Promise<CheckResult>;
  /** Another entry's message came, so that ticks are due soon. */
  readonly active: () => void;
}

const KINDS: Readonly<Record<keyof DispatchMessages, true>> = {
  dispatch_report: true,
  dispatch_update: true,
  dispatch_grant: true,
};

/** A server for a call, with what decided it. */
export interface Assignment {
  readonly server: BackendServer;
  readonly basis: AssignmentBasis;
}

type Decision = Result<Assignment, CallFault>;

/** Carries out the router's effects and hands each call its decision. */
export class Assignments {
  readonly #options: AssignmentsOptions;
  readonly #pending = new Map<string, (decision: Decision) => void>();

  constructor(options: AssignmentsOptions) {
    this.#options = options;
    const { router, clock, network } = options;
    for (const kind of kindsOf(KINDS)) {
      network.handle(kind, (payload, from) => {
        options.active();
        const message = { kind, payload } as Message<DispatchMessages>;
        this.carryOut(router.receive(from.id, message, clock.now()));
      });
    }
  }

  /** Asks for a backend server; resolves at once if a slot is free. */
  submit(
    call: Call,
    exclude: ReadonlySet<string>,
    decided: (decision: Decision) => void,
  ): void {
    const { router, clock } = this.#options;
    this.#pending.set(call.id, decided);
    this.carryOut(router.submit(call, { exclude, now: clock.now() }));
  }

  /** Reports what became of an assigned call. */
  finish(callId: string, result: CallResult): void {
    const { router, clock } = this.#options;
    this.carryOut(router.finish(callId, result, clock.now()));
  }

  /** Gives up a call that waits for a server. */
  cancel(callId: string): void {
    const { router, clock } = this.#options;
    if (!this.#pending.delete(callId)) return;
    this.carryOut(router.cancel(callId, clock.now()));
  }

  tick(): void {
    this.carryOut(this.#options.router.tick(this.#options.clock.now()));
  }

  carryOut(effects: readonly RoutingEffect[]): void {
    for (const effect of effects) this.#carryOut(effect);
  }

  #carryOut(effect: RoutingEffect): void {
    switch (effect.type) {
      case "assign":
        this.#decide(effect.callId, ok(effect));
        return;
      case "reject":
        this.#decide(effect.callId, err(effect.fault));
        return;
      case "probe":
        void this.#probe(effect.server);
        return;
      case "check":
        void this.#check(effect.callId, effect.server);
        return;
      case "send":
        this.#options.network.send(effect.to, effect.kind, effect.payload);
    }
  }

  #decide(callId: string, decision: Decision): void {
    const decided = this.#pending.get(callId);
    this.#pending.delete(callId);
    decided?.(decision);
  }

  async #probe(server: BackendServer): Promise<void> {
    const { router, clock, probe } = this.#options;
    const result = await probe(server);
    this.carryOut(router.handleProbeResult(server, result, clock.now()));
  }

  async #check(callId: string, server: BackendServer): Promise<void> {
    const { router, clock, check } = this.#options;
    const result = await check(server);
    this.carryOut(router.handleCheckResult(callId, result, clock.now()));
  }
}
