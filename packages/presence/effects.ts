import type { BackendServer, HostId } from "#model";
import type { PresenceMessages } from "./messages.ts";

/** A message for another entry. */
export type PresenceSend = {
  [K in keyof PresenceMessages]: {
    readonly type: "send";
    readonly to: HostId;
    readonly kind: K;
    readonly payload: PresenceMessages[K];
  };
}[keyof PresenceMessages];

/** Why a server's incarnation is no longer registered. */
export type GoneReason = "left" | "expired" | "restarted";

/** What a method of `Presence` asks its caller to execute. */
export type PresenceEffect =
  | {
      readonly type: "changed";
      readonly service: string;
      /** True if nothing but the reported load of servers has changed. */
      readonly loadOnly: boolean;
    }
  | {
      readonly type: "gone";
      readonly server: BackendServer;
      readonly reason: GoneReason;
    }
  /** Find out which server answers at this one's address. */
  | { readonly type: "verify"; readonly server: BackendServer }
  /** A list of another process has a record that names no server to use. */
  | {
      readonly type: "record_unusable";
      readonly owner: HostId;
      readonly from: HostId;
      readonly service: string;
      readonly id: string;
      readonly problem: string;
    }
  | PresenceSend;

/** Collects the effects of one call, with at most one change per service. */
export class Effects {
  readonly #changed = new Map<string, boolean>();
  readonly #otherEffects: PresenceEffect[] = [];

  changed(service: string): void {
    this.#changed.set(service, false);
  }

  loadChanged(service: string): void {
    if (!this.#changed.has(service)) this.#changed.set(service, true);
  }

  gone(server: BackendServer, reason: GoneReason): void {
    this.#otherEffects.push({ type: "gone", server, reason });
  }

  verify(server: BackendServer): void {
    this.#otherEffects.push({ type: "verify", server });
  }

  recordUnusable(
    record: Omit<Extract<PresenceEffect, { type: "record_unusable" }>, "type">,
  ): void {
    this.#otherEffects.push({ type: "record_unusable", ...record });
  }

  send(to: readonly HostId[], message: Omit<PresenceSend, "type" | "to">) {
    for (const id of to) {
      this.#otherEffects.push({
        type: "send",
        to: id,
        ...message,
      } as PresenceSend);
    }
  }

  list(): PresenceEffect[] {
    const changeEffects = [...this.#changed].map(
      ([service, loadOnly]): PresenceEffect => ({
        type: "changed",
        service,
        loadOnly,
      }),
    );
    return [...changeEffects, ...this.#otherEffects];
  }
}
