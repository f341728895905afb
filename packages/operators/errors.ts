/** HTTP status of each error code of the operators' API. */
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
  configuration_too_large: 422,
  revision_required: 428,
  header_too_large: 431,
  internal_error: 500,
  no_quorum: 503,
  result_unknown: 503,
  closed: 503,
  not_in_force: 503,
} as const satisfies Record<string, number>;

export type OperatorErrorCode = keyof typeof OPERATOR_ERRORS;

/** Errors after which a request may be retried, on this or another host. */
export const RETRYABLE_ERRORS: ReadonlySet<string> = new Set<OperatorErrorCode>(
  ["no_quorum", "result_unknown", "closed", "not_in_force"],
);

/** An error response of the operators' API. */
export interface OperatorError {
  readonly type: "operator_error";
  readonly code: OperatorErrorCode;
  readonly message: string;
  /** Additional fields of the error object in the response body. */
  readonly details: Readonly<Record<string, unknown>>;
  /** Additional headers of the response. */
  readonly headers: Readonly<Record<string, string>>;
}

/** Creates an error response. */
export function operatorError(
  code: OperatorErrorCode,
  message: string,
  extras: {
    readonly details?: Readonly<Record<string, unknown>>;
    readonly headers?: Readonly<Record<string, string>>;
  } = {},
): OperatorError {
  const { details = {}, headers = {} } = extras;
  return { type: "operator_error", code, message, details, headers };
}

/** Creates the error response for a fault of the replicated log. */
export function logError(code: LogErrorCode): OperatorError {
  const headers: Record<string, string> = {};
  if (RETRYABLE_ERRORS.has(code)) headers["retry-after"] = "1";
  return operatorError(code, LOG_MESSAGES[code], { headers });
}

const LOG_MESSAGES = {
  no_quorum:
    "this host reaches no majority of control hosts; nothing was done, try another host",
  result_unknown:
    "the change may or may not be applied; send it again with the same change id",
  closed: "this host is stopping; nothing was done, try another host",
  configuration_too_large:
    "entries could not be sent the whole configuration; nothing was done, remove something first",
} as const;

type LogErrorCode = keyof typeof LOG_MESSAGES;
