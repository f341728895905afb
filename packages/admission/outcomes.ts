/** Retries, call chains, hedging and the outcomes of attempts. */

export * from "./attempt_tracker.ts";
export * from "./call_chain.ts";
export * from "./hedging.ts";
export * from "./latency_histogram.ts";
export * from "./resend_budget.ts";
export * from "./retry_budget.ts";
