import type { CallFault } from "#model";
import type { ClaimSend, StoredAnswer } from "./messages.ts";

/** What the composition root has to do; `send` may name the entry itself. */
export type ClaimEffect =
  /** The call may run; `settle` must follow. */
  | { readonly type: "granted"; readonly callId: string }
  | {
      readonly type: "denied";
      readonly callId: string;
      readonly fault: CallFault;
    }
  /** The request ran before; this is its answer. */
  | {
      readonly type: "replayed";
      readonly callId: string;
      readonly answer: StoredAnswer;
    }
  | ClaimSend;

/** A request that must not be repeated. */
export interface KeyedCall {
  readonly callId: string;
  /** Value of the header `Idempotency-Key`. */
  readonly key: string;
  /** Hash of service, method, path and body, 32 bits. */
  readonly fingerprint: number;
  /** Longest wait for another run of the same key, in milliseconds. */
  readonly waitMs: number;
}

/** How a granted call ended. */
export type Settlement =
  | { readonly type: "ran"; readonly answer?: StoredAnswer | undefined }
  /** Proved; the key may be claimed again. */
  | { readonly type: "not_started" };
