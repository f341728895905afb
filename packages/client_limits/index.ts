/**
 * Bounds on what clients make a process hold, and which connection is closed when
 * a bound is reached.
 *
 * @module
 */

export * from "./client_account.ts";
export * from "./client_bounds.ts";
