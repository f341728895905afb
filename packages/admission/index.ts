/**
 * Admission control: which calls wait, in which order, which are rejected, and
 * which may be tried again.
 *
 * @module
 */
export * from "./call_queue.ts";
export * from "./heap.ts";
export * from "./outcomes.ts";
