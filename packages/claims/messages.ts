/** A server's complete answer, kept for resends. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [name: string, value: string])[];
  readonly body: Uint8Array;
}

/** Largest answer that is kept, in bytes of headers and body. */
export const MAX_ANSWER_BYTES = 16 * 1024;

/** The size that counts against the limits, in bytes. */
export function answerBytes(answer: StoredAnswer): number {
  let bytes = answer.body.length;
  for (const [name, value] of answer.headers) {
    bytes += name.length + value.length;
  }
  return bytes;
}

/** Names one attempt to claim; the host is the sender of the message. */
export interface AttemptName {
  readonly key: string;
  /** Incarnation of the claimant. */
  readonly incarnation: number;
  /** Unique within the claimant's incarnation. */
  readonly attempt: number;
}

export interface ClaimRequest extends AttemptName {
  /** Order of the call at its claimant; decides between competing calls. */
  readonly ticket: number;
  /** The holder's incarnation in the view. */
  readonly holder: number;
  /** Epoch of the claimant's present view. */
  readonly epoch: number;
  /** Hash of the request, so that a key serves one request only. */
  readonly fingerprint: number;
}

/** What a holder says about a key. */
export type Verdict =
  | { readonly type: "granted" }
  /** Another attempt has it; `gone` if its claimant has restarted since. */
  | {
      readonly type: "held";
      readonly host: string;
      readonly ticket: number;
      readonly gone: boolean;
    }
  | { readonly type: "settled"; readonly answer?: StoredAnswer | undefined }
  | { readonly type: "other_request" }
  /** The holder knows no claim on the key and has no room for one. */
  | { readonly type: "full" }
  | { readonly type: "stale_view"; readonly epoch: number }
  | { readonly type: "restarted" }
  | { readonly type: "key_refused" };

export interface ClaimReply extends AttemptName {
  /** The holder's own incarnation. */
  readonly holder: number;
  readonly verdict: Verdict;
}

export interface ClaimSettle extends AttemptName {
  readonly fingerprint: number;
  readonly answer?: StoredAnswer | undefined;
}

/** Messages between claimants and holders; both are entries. */
export interface ClaimMessages {
  /** Asks for a key. */
  readonly "claim.request": ClaimRequest;
  readonly "claim.reply": ClaimReply;
  /** The request ran or may have run; final. */
  readonly "claim.settle": ClaimSettle;
  /** The attempt is given up or proved not started; final. */
  readonly "claim.release": AttemptName;
  /** Asks a claimant how its attempt ended, as the end may have been lost. */
  readonly "claim.inquiry": AttemptName;
}

/** One message as a discriminated union. */
export type ClaimMessage = {
  [K in keyof ClaimMessages]: {
    readonly kind: K;
    readonly payload: ClaimMessages[K];
  };
}[keyof ClaimMessages];

/** Hands a message to a peer; `to` may be the entry itself. */
export type ClaimSend = {
  readonly type: "send";
  readonly to: string;
} & ClaimMessage;

/** The time of a decision, on both clocks, in milliseconds. */
export interface Instant {
  /** `Clock.now()`. */
  readonly now: number;
  /** `Clock.wallTime()`; keys carry wall-clock time. */
  readonly epoch: number;
}
