/**
 * Admission control: which calls wait, in which order, and which are rejected.
 *
 * @module
 */
export * from "./class_queue.ts";
export * from "./heap.ts";
