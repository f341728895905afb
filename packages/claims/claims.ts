import type { HostId, Randomness } from "#model";
import { ClaimHolder, type HolderLimits } from "./claim_holder.ts";
import { Claimant } from "./claimant.ts";
import type { ClaimEffect, KeyedCall, Settlement } from "./effects.ts";
import type { Views } from "./holders.ts";
import type { ClaimMessage, Instant } from "./messages.ts";

/**
 * An entry's claimant and holder. An entry is among the holders of some of its
 * own keys; messages to itself are delivered here and never sent.
 */
export class Claims {
  readonly claimant: Claimant;
  readonly holder: ClaimHolder;
  readonly #self: HostId;

  constructor(options: {
    self: HostId;
    incarnation: number;
    randomness: Randomness;
    limits?: HolderLimits;
  }) {
    this.#self = options.self;
    this.claimant = new Claimant(options);
    this.holder = new ClaimHolder(options);
  }

  /** Takes the views in force. */
  configure(views: Views, at: Instant): ClaimEffect[] {
    this.holder.configure(views.view, views.clockSkewMs);
    return this.#deliver(this.claimant.configure(views, at), at);
  }

  /** Asks for a key before the first dispatch of a call. */
  claim(call: KeyedCall, at: Instant): ClaimEffect[] {
    return this.#deliver(this.claimant.claim(call, at), at);
  }

  /** Gives up a call that has no decision yet. */
  cancel(callId: string, at: Instant): ClaimEffect[] {
    return this.#deliver(this.claimant.cancel(callId, at), at);
  }

  /** Tells how a granted call ended. */
  settle(callId: string, outcome: Settlement, at: Instant): ClaimEffect[] {
    return this.#deliver(this.claimant.settle(callId, outcome, at), at);
  }

  /** Takes a peer's message. */
  receive(from: HostId, message: ClaimMessage, at: Instant): ClaimEffect[] {
    return this.#deliver(this.#dispatch(from, message, at), at);
  }

  /** Asks again and forgets; to be called every 10 to 25 ms. */
  tick(at: Instant): ClaimEffect[] {
    this.holder.tick(at.now);
    return this.#deliver(this.claimant.tick(at), at);
  }

  #dispatch(from: HostId, message: ClaimMessage, at: Instant): ClaimEffect[] {
    return [
      ...this.holder.receive(from, message, at),
      ...this.claimant.receive(from, message, at),
    ];
  }

  #deliver(effects: ClaimEffect[], at: Instant): ClaimEffect[] {
    const queue = [...effects];
    const outside: ClaimEffect[] = [];
    for (let effect = queue.shift(); effect; effect = queue.shift()) {
      if (effect.type === "send" && effect.to === this.#self) {
        queue.push(...this.#dispatch(this.#self, effect, at));
      } else {
        outside.push(effect);
      }
    }
    return outside;
  }
}
