/** A server's complete response, stored for resends. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [name: string, value: string])[];
  readonly body: Uint8Array;
}

/** Largest response that is stored, in bytes of headers and body. */
export const MAX_ANSWER_BYTES = 16 * 1024;

/** The size of a stored response in bytes, as counted for the limits. */
export function answerBytes(answer: StoredAnswer): number {
  let bytes = answer.body.length;
  for (const [name, value] of answer.headers) {
    bytes += name.length + value.length;
  }
  return bytes;
}

/**
 * Identifies an attempt to claim a key, together with the claimant's host id.
 */
export interface AttemptId {
  readonly key: string;
  /** Incarnation of the claimant. */
  readonly incarnation: number;
  /** Unique within the claimant's incarnation. */
  readonly attempt: number;
}

export interface ClaimRequest extends AttemptId {
  /** Order of the calls at the claimant; the lowest ticket has priority. */
  readonly ticket: number;
  /** Incarnation of the holder in the claimant's view. */
  readonly holder: number;
  /** Epoch of the claimant's current view. */
  readonly epoch: number;
  /** Hash of the request, so that a key is used for one request only. */
  readonly fingerprint: number;
}

/** A holder's response to a claim request. */
export type Verdict =
  | { readonly type: "granted" }
  /** Another attempt has the claim; `gone` if its claimant has restarted. */
  | {
      readonly type: "held";
      readonly host: string;
      readonly ticket: number;
      readonly gone: boolean;
    }
  /** The request was executed or may have been. */
  | { readonly type: "settled"; readonly answer?: StoredAnswer | undefined }
  /** The key is claimed for a request with another fingerprint. */
  | { readonly type: "other_request" }
  /** The key is unclaimed, but the holder has no room for another claim. */
  | { readonly type: "full" }
  /** The claimant's view is older than the holder's, which has this epoch. */
  | { readonly type: "stale_view"; readonly epoch: number }
  /** The holder has another incarnation than the one that was asked. */
  | { readonly type: "restarted" }
  /** The key is invalid or too old. */
  | { readonly type: "key_refused" };

export interface ClaimReply extends AttemptId {
  /** Incarnation of the holder that replies. */
  readonly holder: number;
  readonly verdict: Verdict;
}

export interface ClaimSettle extends AttemptId {
  readonly fingerprint: number;
  readonly answer?: StoredAnswer | undefined;
}

/** Messages between claimants and holders, which are all entries. */
export interface ClaimMessages {
  /** Requests a holder's vote for a claim. */
  readonly "claim.request": ClaimRequest;
  readonly "claim.reply": ClaimReply;
  /** The request was executed or may have been; final. */
  readonly "claim.settle": ClaimSettle;
  /** The attempt was abandoned or the request provably not started; final. */
  readonly "claim.release": AttemptId;
  /** Asks a claimant for the result of its attempt, in case it was lost. */
  readonly "claim.inquiry": AttemptId;
}

/** Any message, as a discriminated union. */
export type ClaimMessage = {
  [K in keyof ClaimMessages]: {
    readonly kind: K;
    readonly payload: ClaimMessages[K];
  };
}[keyof ClaimMessages];

/** Sends a message to an entry; `to` may be the entry itself. */
export type ClaimSend = {
  readonly type: "send";
  readonly to: string;
} & ClaimMessage;

/** A point in time on the monotonic and the wall clock, in milliseconds. */
export interface Instant {
  /** `Clock.now()`. */
  readonly now: number;
  /** `Clock.wallTime()`; keys carry wall-clock time. */
  readonly wallTime: number;
}
