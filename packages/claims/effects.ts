import type { CallFault } from "#model";
import type { ClaimSend, StoredAnswer } from "./messages.ts";

/** An action for the caller to execute; `send` may address the entry itself. */
export type ClaimEffect =
  /** The call may be sent to a server; `settle` must follow. */
  | { readonly type: "granted"; readonly callId: string }
  | {
      readonly type: "denied";
      readonly callId: string;
      readonly fault: CallFault;
    }
  /** The request was executed before and had this answer. */
  | {
      readonly type: "replayed";
      readonly callId: string;
      readonly answer: StoredAnswer;
    }
  | ClaimSend;

/** A non-repeatable request with an idempotency key. */
export interface KeyedCall {
  readonly callId: string;
  /** Value of the header `Idempotency-Key`. */
  readonly key: string;
  /** Hash of service, method, path and body, 32 bits. */
  readonly fingerprint: number;
  /** Longest wait for another call with the same key, in milliseconds. */
  readonly waitMs: number;
}

/** The result of a granted call. */
export type Settlement =
  /** The request was executed or may have been. */
  | { readonly type: "ran"; readonly answer?: StoredAnswer | undefined }
  /** Proven not to have been executed, so the key may be claimed again. */
  | { readonly type: "not_started" };
