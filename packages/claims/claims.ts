import type { HostId, Randomness } from "#model";
import { ClaimHolder, type HolderLimits } from "./claim_holder.ts";
import { Claimant } from "./claimant.ts";
import type { ClaimEffect, KeyedCall, Settlement } from "./effects.ts";
import type { ClaimViews } from "./holders.ts";
import type { ClaimMessage, Instant } from "./messages.ts";

/**
 * The claimant and the holder of an entry. Since an entry can hold keys of its
 * own calls, messages to itself are delivered here and not sent.
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

  /** Applies the views in force. */
  configure(views: ClaimViews, at: Instant): ClaimEffect[] {
    this.holder.configure(views.view, views.clockSkewMs);
    return this.#deliver(this.claimant.configure(views, at), at);
  }

  /** Claims a key; to be called before the first attempt of a call. */
  claim(call: KeyedCall, at: Instant): ClaimEffect[] {
    return this.#deliver(this.claimant.claim(call, at), at);
  }

  /** Cancels an undecided claim. */
  cancel(callId: string, at: Instant): ClaimEffect[] {
    return this.#deliver(this.claimant.cancel(callId, at), at);
  }

  /** Reports the result of a granted call. */
  settle(callId: string, outcome: Settlement, at: Instant): ClaimEffect[] {
    return this.#deliver(this.claimant.settle(callId, outcome, at), at);
  }

  /** Handles a message of another entry. */
  receive(from: HostId, message: ClaimMessage, at: Instant): ClaimEffect[] {
    return this.#deliver(this.#dispatch(from, message, at), at);
  }

  /** Handles timeouts and expiry; to be called every 10 to 25 ms. */
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
