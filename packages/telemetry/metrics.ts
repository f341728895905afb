import {
  Counter,
  collectDefaultMetrics,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";
import type { CallFaultCode, Outcome, Service } from "#model";
import { type PeerTraffic, registerPeerTraffic } from "./peer_traffic.ts";
import { OTHER, ServiceLabels } from "./service_labels.ts";

/** Upper bounds in seconds; the finest suit the added latency (0.36 ms). */
const LATENCY_BUCKETS_S = [
  0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
  1, 2.5, 5, 10, 30,
];

/** A number for each service. */
export type ByService = Iterable<readonly [service: string, value: number]>;

/** Values read at each scrape, so that they cost nothing in between. */
export interface MetricsSources {
  readonly configurationVersion?: () => number;
  readonly callsInFlight?: () => ByService;
  readonly queueLength?: () => ByService;
  /** Slots in use by probes that the agreed budget allows, on average. */
  readonly probeBudget?: () => ByService;
  readonly peerTraffic?: () => PeerTraffic;
}

/** A call that got its final answer. */
export interface FinishedCall {
  readonly service: string;
  readonly class: string;
  readonly outcome: Outcome;
  /** The error code, where mangobank answered and not a server. */
  readonly code?: CallFaultCode;
  /** From arrival to the end of the answer, in milliseconds. */
  readonly ms: number;
}

/** Metrics of one process, in a registry of its own. */
export class Metrics {
  readonly #registry = new Registry();
  readonly #labels = new ServiceLabels();
  readonly #latency;
  readonly #waiting;
  readonly #calls;
  readonly #probeCost;
  readonly #probes;

  constructor(sources: MetricsSources = {}) {
    const registers = [this.#registry];
    // Includes event-loop delay, CPU and memory of the process.
    collectDefaultMetrics({ register: this.#registry });
    this.#latency = new Histogram({
      name: "mangobank_call_duration_seconds",
      help: "Time from a call's arrival to the end of its answer",
      labelNames: ["service", "class"],
      buckets: LATENCY_BUCKETS_S,
      registers,
    });
    this.#waiting = new Histogram({
      name: "mangobank_call_waiting_seconds",
      help: "Time that a call waited for a slot",
      labelNames: ["service", "class"],
      buckets: LATENCY_BUCKETS_S,
      registers,
    });
    this.#calls = new Counter({
      name: "mangobank_calls_total",
      help: "Finished calls; code is 'none' where a server answered",
      labelNames: ["service", "class", "outcome", "code"],
      registers,
    });
    this.#probes = new Counter({
      name: "mangobank_probes_total",
      help: "Probes of backend servers",
      labelNames: ["service"],
      registers,
    });
    this.#probeCost = new Counter({
      name: "mangobank_probe_slot_seconds_total",
      help: "Slot time that probes took",
      labelNames: ["service"],
      registers,
    });
    this.#addSources(sources);
  }

  /** Names that may become label values; others count as `other`. */
  configure(services: readonly Service[]): void {
    const gone = this.#labels.configure(services);
    for (const service of gone.services) {
      this.#probes.remove({ service });
      this.#probeCost.remove({ service });
    }
    for (const labels of gone.classes) {
      this.#latency.remove(labels);
      this.#waiting.remove(labels);
    }
    for (const labels of gone.outcomes) this.#calls.remove(labels);
  }

  finished(call: FinishedCall): void {
    const { outcome, code = "none" } = call;
    const labels = this.#labels.of(call.service, call.class);
    this.#latency.observe(labels, call.ms / 1_000);
    this.#calls.inc(this.#labels.outcome(labels, { outcome, code }));
  }

  /** A call left its queue after this time, in milliseconds. */
  waited(call: { service: string; class: string; ms: number }): void {
    this.#waiting.observe(
      this.#labels.of(call.service, call.class),
      call.ms / 1_000,
    );
  }

  /** A probe took a slot of the service for this time, in milliseconds. */
  probed(service: string, ms: number): void {
    const label = this.#labels.service(service);
    this.#probes.inc({ service: label });
    this.#probeCost.inc({ service: label }, ms / 1_000);
  }

  /** The media type of `text`. */
  get contentType(): string {
    return this.#registry.contentType;
  }

  /** All metrics in the text exposition format. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  #addSources(sources: MetricsSources): void {
    const { configurationVersion, peerTraffic } = sources;
    if (configurationVersion) {
      new Gauge({
        name: "mangobank_configuration_version",
        help: "Configuration version in force",
        registers: [this.#registry],
        collect() {
          this.set(configurationVersion());
        },
      });
    }
    this.#addByService(sources.callsInFlight, {
      name: "mangobank_calls_in_flight",
      help: "Calls at backend servers",
    });
    this.#addByService(sources.queueLength, {
      name: "mangobank_queue_length",
      help: "Calls waiting for a slot",
    });
    this.#addByService(sources.probeBudget, {
      name: "mangobank_probe_budget_slots",
      help: "Slots that probes may take on average, all entries together",
    });
    if (peerTraffic) registerPeerTraffic(this.#registry, peerTraffic);
  }

  #addByService(
    source: (() => ByService) | undefined,
    metric: { name: string; help: string },
  ): void {
    if (!source) return;
    const labels = this.#labels;
    new Gauge({
      ...metric,
      labelNames: ["service"],
      registers: [this.#registry],
      collect() {
        this.reset();
        for (const [name, value] of source()) {
          const service = labels.service(name);
          if (service === OTHER) this.inc({ service }, value);
          else this.set({ service }, value);
        }
      },
    });
  }
}
