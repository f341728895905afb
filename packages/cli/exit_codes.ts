/** Exit codes of `mangobank`; docs/operators/commands.md explains them. */
export const EXIT = {
  done: 0,
  /** Wrong usage, or an error that has no exit code of its own. */
  failed: 1,
  /** A section, a document or settings are invalid. */
  invalid: 2,
  /** The section has been changed since the given revision. */
  conflict: 3,
  /** The credential is unknown, or the section belongs to another team. */
  not_allowed: 4,
  /** No control host answered; nothing was done. */
  no_answer: 5,
  /**
   * The change may have been made; a retry with the same change id shows it.
   */
  result_unknown: 6,
  not_found: 7,
  /** Refused for another reason, which is printed. */
  refused: 8,
} as const;

/** Exit code for each error code of the operators' API; others are `failed`. */
export const EXIT_BY_ERROR: Readonly<Record<string, number>> = {
  invalid_document: EXIT.invalid,
  conflict: EXIT.conflict,
  unauthenticated: EXIT.not_allowed,
  forbidden: EXIT.not_allowed,
  not_found: EXIT.not_found,
  change_id_reused: EXIT.refused,
  member_change_refused: EXIT.refused,
  internal_error: EXIT.failed,
};
