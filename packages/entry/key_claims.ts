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
import { messageKinds, type Network } from "#wire";

/** Whether a non-repeatable call may be sent to a server. */
export type ClaimDecision =
  | { readonly type: "granted" }
  | { readonly type: "denied"; readonly fault: CallFault }
  | { readonly type: "replayed"; readonly answer: StoredAnswer };

const MESSAGE_KINDS: Readonly<Record<keyof ClaimMessages, true>> = {
  "claim.request": true,
  "claim.reply": true,
  "claim.settle": true,
  "claim.release": true,
  "claim.inquiry": true,
};

/**
 * Claims idempotency keys for this entry's calls, and answers the claims of
 * other entries on the keys that this entry holds.
 */
export class KeyClaims {
  readonly #clock: Clock;
  readonly #network: Network<ClaimMessages>;
  readonly #claims: Claims;
  readonly #pending = new Map<string, (decision: ClaimDecision) => void>();

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
    for (const kind of messageKinds(MESSAGE_KINDS)) {
      network.handle(kind, (payload, from) => {
        const message = { kind, payload } as ClaimMessage;
        this.#execute(this.#claims.receive(from.id, message, this.#instant()));
      });
    }
  }

  configure({ view, formerViews, document }: Configuration): void {
    const views = { view, formerViews, clockSkewMs: document.clockSkewMs };
    this.#execute(this.#claims.configure(views, this.#instant()));
  }

  /** Claims a call's idempotency key; always resolves with a decision. */
  claim(call: KeyedCall): Promise<ClaimDecision> {
    return new Promise((resolve) => {
      this.#pending.set(call.callId, resolve);
      this.#execute(this.#claims.claim(call, this.#instant()));
    });
  }

  /** Cancels a claim that is still undecided; it resolves as denied. */
  cancel(callId: string): void {
    const resolve = this.#pending.get(callId);
    if (!resolve) return;
    this.#pending.delete(callId);
    this.#execute(this.#claims.cancel(callId, this.#instant()));
    // Another entry may have executed the request before.
    const fault = callFault("claim_unavailable", { outcome: "unknown" });
    resolve({ type: "denied", fault });
  }

  /** Reports the result of a granted call. */
  settle(callId: string, settlement: Settlement): void {
    this.#execute(this.#claims.settle(callId, settlement, this.#instant()));
  }

  tick(): void {
    this.#execute(this.#claims.tick(this.#instant()));
  }

  /** Number of this entry's claims that are undecided. */
  get pending(): number {
    return this.#pending.size;
  }

  /** Number of keys that this entry holds, for all entries. */
  get held(): number {
    return this.#claims.holder.size;
  }

  #execute(effects: readonly ClaimEffect[]): void {
    for (const effect of effects) {
      if (effect.type !== "send") this.#resolve(effect);
      else this.#network.send(effect.to, effect.kind, effect.payload);
    }
  }

  #resolve(effect: Exclude<ClaimEffect, { type: "send" }>): void {
    const resolve = this.#pending.get(effect.callId);
    this.#pending.delete(effect.callId);
    if (resolve) resolve(effect);
    // The call was cancelled meanwhile, and nothing was sent to a server.
    else if (effect.type === "granted") {
      this.settle(effect.callId, { type: "not_started" });
    }
  }

  #instant(): Instant {
    return { now: this.#clock.now(), wallTime: this.#clock.wallTime() };
  }
}
