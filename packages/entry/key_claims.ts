import {
  type ClaimEffect,
  type ClaimMessage,
  type ClaimMessages,
  Claims,
  type Instant,
  type KeyedCall,
  type Settlement,
  type StoredAnswer,
} from "#claims";
import {
  type CallFault,
  type Clock,
  type Configuration,
  callFault,
  type HostId,
  type Randomness,
} from "#model";
import { kindsOf, type Network } from "#wire";

/** Whether a call that must not be repeated may run. */
export type ClaimDecision =
  | { readonly type: "granted" }
  | { readonly type: "denied"; readonly fault: CallFault }
  | { readonly type: "replayed"; readonly answer: StoredAnswer };

const KINDS: Readonly<Record<keyof ClaimMessages, true>> = {
  "claim.request": true,
  "claim.reply": true,
  "claim.settle": true,
  "claim.release": true,
  "claim.inquiry": true,
};

/** Carries out the claims of this entry's calls, and those that it holds. */
export class KeyClaims {
  readonly #clock: Clock;
  readonly #network: Network<ClaimMessages>;
  readonly #claims: Claims;
  readonly #waiting = new Map<string, (decision: ClaimDecision) => void>();

  constructor(options: {
    self: HostId;
    incarnation: number;
    clock: Clock;
    randomness: Randomness;
    network: Network<ClaimMessages>;
  }) {
    const { self, incarnation, clock, randomness, network } = options;
    this.#clock = clock;
    this.#network = network;
    this.#claims = new Claims({ self, incarnation, randomness });
    for (const kind of kindsOf(KINDS)) {
      network.handle(kind, (payload, from) => {
        const message = { kind, payload } as ClaimMessage;
        this.#carryOut(this.#claims.receive(from.id, message, this.#at()));
      });
    }
  }

  configure({ view, formerViews, document }: Configuration): void {
    const views = { view, formerViews, clockSkewMs: document.clockSkewMs };
    this.#carryOut(this.#claims.configure(views, this.#at()));
  }

  /** Claims a call's key; resolves with exactly one decision. */
  claim(call: KeyedCall): Promise<ClaimDecision> {
    return new Promise((resolve) => {
      this.#waiting.set(call.callId, resolve);
      this.#carryOut(this.#claims.claim(call, this.#at()));
    });
  }

  /** Gives up a claim that is not decided yet; it resolves as denied. */
  cancel(callId: string): void {
    const waiting = this.#waiting.get(callId);
    if (!waiting) return;
    this.#waiting.delete(callId);
    this.#carryOut(this.#claims.cancel(callId, this.#at()));
    // Another entry may have run the request before.
    const fault = callFault("claim_unavailable", { outcome: "unknown" });
    waiting({ type: "denied", fault });
  }

  /** Tells how a granted call ended. */
  settle(callId: string, settlement: Settlement): void {
    this.#carryOut(this.#claims.settle(callId, settlement, this.#at()));
  }

  tick(): void {
    this.#carryOut(this.#claims.tick(this.#at()));
  }

  /** Keys held here for all entries. */
  get held(): number {
    return this.#claims.holder.size;
  }

  #carryOut(effects: readonly ClaimEffect[]): void {
    for (const effect of effects) {
      if (effect.type !== "send") this.#decide(effect);
      else this.#network.send(effect.to, effect.kind, effect.payload);
    }
  }

  #decide(effect: Exclude<ClaimEffect, { type: "send" }>): void {
    const waiting = this.#waiting.get(effect.callId);
    this.#waiting.delete(effect.callId);
    if (waiting) waiting(effect);
    // The caller has gone meanwhile, and nothing was sent to a server.
    else if (effect.type === "granted") {
      this.settle(effect.callId, { type: "not_started" });
    }
  }

  #at(): Instant {
    return { now: this.#clock.now(), epoch: this.#clock.wallTime() };
  }
}
