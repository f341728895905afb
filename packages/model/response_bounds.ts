/** Bounds on the responses of backend servers. */
export const RESPONSE_BOUNDS = [
  /** Too many informational responses (1xx) came before the final one. */
  "informational_count",
  /** The informational responses were too long together. */
  "informational_bytes",
  /** Too many bytes, as of a chunk's size, came without any of the body. */
  "framing_bytes",
  /** The body is longer than the limit, by its header or as received. */
  "body_bytes",
  /** The deadline passed while the body was being forwarded. */
  "deadline",
  /** Bytes arrived after the end of the response. */
  "surplus_bytes",
] as const;

/** A bound on the responses of backend servers. */
export type ResponseBound = (typeof RESPONSE_BOUNDS)[number];
