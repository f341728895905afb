/**
 * Quotas in an entry process: the messages, timers, metrics and log lines around the
 * decisions of `#quotas`, and the token of each call.
 *
 * @module
 */

export * from "./call_quota.ts";
export * from "./tenant_quotas.ts";
