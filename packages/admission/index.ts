/**
 * Admission control: queues, retry budgets, deadlines and call chains.
 *
 * @module
 */
export * from "./outcomes.ts";
