/** HTTP status of each error code of the operators' interface. */
export const OPERATOR_ERRORS = {
  invalid_request: 400,
  unauthenticated: 401,
  forbidden: 403,
  not_found: 404,
  method_not_allowed: 405,
  request_timeout: 408,
  conflict: 409,
  change_id_reused: 409,
  member_change_refused: 409,
  body_too_large: 413,
  unsupported_encoding: 415,
  invalid_document: 422,
  revision_required: 428,
  header_too_large: 431,
  internal_error: 500,
  no_quorum: 503,
  result_unknown: 503,
  closed: 503,
  not_in_force: 503,
} as const satisfies Record<string, number>;

export type OperatorErrorCode = keyof typeof OPERATOR_ERRORS;

/** Errors after which the same request may be sent again, here or elsewhere. */
export const RETRYABLE_ERRORS: ReadonlySet<string> = new Set<OperatorErrorCode>(
  ["no_quorum", "result_unknown", "closed", "not_in_force"],
);

/** An error answer of the operators' interface. */
export interface OperatorError {
  readonly type: "operator_error";
  readonly code: OperatorErrorCode;
  readonly message: string;
  /** Further members of the answer's body. */
  readonly details: Readonly<Record<string, unknown>>;
  /** Further headers of the answer. */
  readonly headers: Readonly<Record<string, string>>;
}

/** Makes an error answer. */
export function operatorError(
  code: OperatorErrorCode,
  message: string,
  more: {
    readonly details?: Readonly<Record<string, unknown>>;
    readonly headers?: Readonly<Record<string, string>>;
  } = {},
): OperatorError {
  const { details = {}, headers = {} } = more;
  return { type: "operator_error", code, message, details, headers };
}

/** The error for a fault of the replicated log. */
export function logError(
  code: "no_quorum" | "result_unknown" | "closed",
): OperatorError {
  const headers = { "retry-after": "1" };
  return operatorError(code, LOG_MESSAGES[code], { headers });
}

const LOG_MESSAGES = {
  no_quorum:
    "this host reaches no majority of control hosts; nothing was done, try another host",
  result_unknown:
    "the change may or may not be applied; send it again with the same change id",
  closed: "this host is stopping; nothing was done, try another host",
} as const;
