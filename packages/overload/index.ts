/**
 * Which waiting call of a service starts, waits or is refused when there are
 * too few slots. Decides by rank, objective, expected work and tenant.
 *
 * @module
 */
export * from "./call_order.ts";
export * from "./overload_control.ts";
export * from "./ranked_queue.ts";
export * from "./retry_schedule.ts";
export * from "./room.ts";
export * from "./tenant_weights.ts";
export * from "./waiting_order.ts";
