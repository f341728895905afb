/**
 * Admission control: which calls wait and in which order, which are rejected,
 * and which may be retried.
 *
 * @module
 */
export * from "./call_queue.ts";
export * from "./heap.ts";
export * from "./outcomes.ts";
