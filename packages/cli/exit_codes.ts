/** Exit codes of `mangobank`; docs/operators/commands.md explains them. */
export const EXIT = {
  done: 0,
  /** Wrong usage, or an error without a code of its own. */
  failed: 1,
  /** A section, a document or settings are invalid. */
  invalid: 2,
  /** Somebody else changed the section first. */
  conflict: 3,
  /** The credential is unknown, or the section is another team's. */
  not_allowed: 4,
  /** No control host answered; nothing was done. */
  no_answer: 5,
  /** The change may have been made; the same change id finds out. */
  result_unknown: 6,
  not_found: 7,
  /** Refused for another stated reason. */
  refused: 8,
} as const;

/** Exit codes by error code of the operators' interface. */
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
