import type { RequestBody } from "./request_body.ts";

/** An HTTP request to a backend server. */
export interface BackendRequest {
  readonly method: string;
  readonly path: string;
  /**
   * Alternating names and values, as in Node's `rawHeaders`; those that frame the
   * body are set anew.
   */
  readonly headers: string[];
  readonly body: RequestBody;
  readonly connectTimeoutMs: number;
  /**
   * Whether to use a connection that no earlier request has used. False if
   * absent.
   */
  readonly needsNewConnection?: boolean;
  /**
   * The id that the server repeats in its response, if the protocol has one.
   */
  readonly requestId: string | undefined;
  /** Id of the request in log lines; undefined for probes and checks. */
  readonly logId?: string | undefined;
  /** Called once the request and its response have ended, whichever way. */
  readonly onClosed?: () => void;
}
