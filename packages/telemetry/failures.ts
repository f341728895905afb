import { Counter, type Registry } from "prom-client";
import type { Logger } from "./logger.ts";
import { errorFields } from "./process_end.ts";

/** Failures since the start of the process, by place. */
const taskFailures = new Map<string, number>();
const failuresByEndpoint = new Map<string, number>();

/** Counts an exception or rejection of a task that no request waits for. */
export function recordTaskFailure(task: string): void {
  increment(taskFailures, task);
}

/** Counts a request whose handling threw or rejected. */
export function recordEndpointFailure(endpoint: string): void {
  increment(failuresByEndpoint, endpoint);
}

/**
 * Returns a callback that logs and counts the failed requests of an endpoint;
 * the line's `id` is that of the answer.
 */
export function endpointFailures(
  endpoint: string,
  logger: Logger,
): (failure: { readonly error: unknown }) => void {
  return ({ error, ...about }) => {
    recordEndpointFailure(endpoint);
    const fields = { endpoint, ...about, error: errorFields(error) };
    logger.error("request failed", fields);
  };
}

/**
 * Registers counters of failures. They are of the whole process, as the metrics
 * of its memory and its event loop are.
 */
export function registerFailures(registry: Registry): void {
  registerCounter(registry, taskFailures, {
    name: "mangobank_task_failures_total",
    help: "Unforeseen exceptions and rejections of tasks that run by themselves",
    label: "task",
  });
  registerCounter(registry, failuresByEndpoint, {
    name: "mangobank_endpoint_failures_total",
    help: "Requests whose handling ended with an unforeseen exception",
    label: "endpoint",
  });
}

function increment(counts: Map<string, number>, place: string): void {
  counts.set(place, (counts.get(place) ?? 0) + 1);
}

function registerCounter(
  registry: Registry,
  counts: ReadonlyMap<string, number>,
  metric: { name: string; help: string; label: string },
): void {
  const { name, help, label } = metric;
  new Counter({
    name,
    help,
    labelNames: [label],
    registers: [registry],
    collect() {
      this.reset();
      for (const [place, count] of counts) this.inc({ [label]: place }, count);
    },
  });
}
