import { err, ok, type Result } from "neverthrow";
import {
  type BackendServer,
  backendServerKey,
  type Call,
  type CallFault,
  type Clock,
} from "#model";
import type {
  AssignmentBasis,
  BackOff,
  CallResult,
  CheckResult,
  ColdServersChange,
  DispatchMessages,
  ProbeResult,
  RateLimitChange,
  Router,
  RoutingEffect,
  ServiceHealthChange,
} from "#routing";
import { type Logger, OwnTasks } from "#telemetry";
import { type Message, messageKinds, type Network } from "#wire";

export interface AssignmentsOptions {
  readonly router: Router;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly network: Network<DispatchMessages>;
  readonly probe: (server: BackendServer) => Promise<ProbeResult>;
  /** Asks a server for its current speed before a call is assigned to it. */
  readonly check: (server: BackendServer) => Promise<CheckResult>;
  /**
   * Called for each message of another entry, since ticks are due soon then.
   */
  readonly onPeerMessage: () => void;
}

const MESSAGE_KINDS: Readonly<Record<keyof DispatchMessages, true>> = {
  dispatch_report: true,
  dispatch_update: true,
  dispatch_grant: true,
};

/** The server chosen for a call, and how it was chosen. */
export interface Assignment {
  readonly server: BackendServer;
  readonly basis: AssignmentBasis;
}

type Decision = Result<Assignment, CallFault>;

/** Executes the router's effects and delivers its decision to each call. */
export class Assignments {
  readonly #options: AssignmentsOptions;
  readonly #tasks: OwnTasks;
  readonly #pending = new Map<string, (decision: Decision) => void>();

  constructor(options: AssignmentsOptions) {
    this.#options = options;
    this.#tasks = new OwnTasks(options);
    const { router, clock, network } = options;
    for (const kind of messageKinds(MESSAGE_KINDS)) {
      network.handle(kind, (payload, from) => {
        options.onPeerMessage();
        const message = { kind, payload } as Message<DispatchMessages>;
        this.execute(router.receive(from.id, message, clock.now()));
      });
    }
  }

  /**
   * Requests a backend server for a call. `onDecision` is called once, before
   * this method returns if a slot is free.
   */
  submit(
    call: Call,
    exclude: ReadonlySet<string>,
    onDecision: (decision: Decision) => void,
  ): void {
    const { router, clock } = this.#options;
    this.#pending.set(call.id, onDecision);
    this.execute(router.submit(call, { exclude, now: clock.now() }));
  }

  /** Reports the result of an assigned call to the router. */
  finish(callId: string, result: CallResult): void {
    const { router, clock } = this.#options;
    this.execute(router.finish(callId, result, clock.now()));
  }

  /** Withdraws a call that is still waiting for a server. */
  cancel(callId: string): void {
    const { router, clock } = this.#options;
    if (!this.#pending.delete(callId)) return;
    this.execute(router.cancel(callId, clock.now()));
  }

  tick(): void {
    this.execute(this.#options.router.tick(this.#options.clock.now()));
  }

  execute(effects: readonly RoutingEffect[]): void {
    for (const effect of effects) this.#execute(effect);
  }

  #execute(effect: RoutingEffect): void {
    switch (effect.type) {
      case "assign":
        this.#resolve(effect.callId, ok(effect));
        return;
      case "reject":
        this.#resolve(effect.callId, err(effect.fault));
        return;
      case "probe":
        this.#tasks.run("probe", () => this.#probe(effect.server));
        return;
      case "check":
        this.#tasks.run("check", () =>
          this.#check(effect.callId, effect.server),
        );
        return;
      case "rate_limit_changed":
        this.#logRateLimit(effect);
        return;
      case "server_backs_off":
        this.#logBackOff(effect);
        return;
      case "cold_servers_changed":
        this.#logCold(effect);
        return;
      case "server_health_changed":
        this.#logHealth(effect);
        return;
      case "send":
        this.#options.network.send(effect.to, effect.kind, effect.payload);
    }
  }

  #resolve(callId: string, decision: Decision): void {
    const onDecision = this.#pending.get(callId);
    this.#pending.delete(callId);
    onDecision?.(decision);
  }

  #logRateLimit({ server, perSecond, previous }: RateLimitChange): void {
    this.#options.logger.info("rate limit of a backend server", {
      server: backendServerKey(server),
      incarnation: server.incarnation,
      perSecond,
      previous,
    });
  }

  #logCold({ service, servers, coldRequestsPerS }: ColdServersChange): void {
    const fields = { service, servers, coldRequestsPerS };
    this.#options.logger.info("cold backend servers", fields);
  }

  #logHealth(change: ServiceHealthChange): void {
    const { service, server, by, from, to, failureEvidence } = change;
    this.#options.logger.info("health of a backend server", {
      server: `${service}/${server}`,
      by,
      from,
      to,
      failureEvidence,
      successRate: roundedShare(change.successRate),
      serviceTimeRatio: roundedShare(change.serviceTimeRatio),
    });
  }

  #logBackOff({ server, ms }: BackOff): void {
    this.#options.logger.info("backend server asks to back off", {
      server: backendServerKey(server),
      incarnation: server.incarnation,
      ms,
    });
  }

  async #probe(server: BackendServer): Promise<void> {
    const { router, clock, probe } = this.#options;
    // The router waits for a result, also if the server could not be asked.
    const result = await probe(server).catch((error): ProbeResult => {
      this.#tasks.fail("probe", error);
      return { kind: "failed" };
    });
    this.execute(router.handleProbeResult(server, result, clock.now()));
  }

  async #check(callId: string, server: BackendServer): Promise<void> {
    const { router, clock, check } = this.#options;
    const result = await check(server).catch((error): CheckResult => {
      this.#tasks.fail("check", error);
      return { kind: "failed" };
    });
    this.execute(router.handleCheckResult(callId, result, clock.now()));
  }
}

function roundedShare(share: number): number {
  return Math.round(share * 1_000) / 1_000;
}
