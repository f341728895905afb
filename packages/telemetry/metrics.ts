import { Counter, Gauge, Histogram, Registry } from "prom-client";
import {
  type CallFaultCode,
  type Outcome,
  RESPONSE_BOUNDS,
  type RefusalReason,
  type ResponseBound,
  type Service,
} from "#model";
import { type PeerTraffic, registerPeerTraffic } from "./peer_traffic.ts";
import { registerProcessMetrics } from "./process_metrics.ts";
import { QuotaMetrics } from "./quota_metrics.ts";
import { OTHER_LABEL, ServiceLabels } from "./service_labels.ts";

/** Upper bounds; the finest ones resolve mangobank's own latency of 0.36 ms. */
const LATENCY_BUCKETS_S = [
  0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5,
  1, 2.5, 5, 10, 30,
];

const SERVER_REQUEST_KINDS: readonly ServerRequestKind[] = [
  "call",
  "check",
  "probe",
  "connection_check",
  "identity_check",
];

/** Values by service name. */
export type ValuesByService = Iterable<
  readonly [service: string, value: number]
>;

/** Functions that read current values, called only when metrics are scraped. */
export interface MetricsSources {
  readonly configurationVersion?: () => number;
  readonly callsInFlight?: () => ValuesByService;
  readonly queueLength?: () => ValuesByService;
  /** Average number of slots that probes may use under the probe budget. */
  readonly probeBudget?: () => ValuesByService;
  /** Number of servers that limit their request rate. */
  readonly rateLimitedServers?: () => ValuesByService;
  /** Number of cold servers whose requests are spaced. */
  readonly coldServers?: () => ValuesByService;
  /** Number of servers that want no requests of this entry at present. */
  readonly backingOffServers?: () => ValuesByService;
  /** Number of services of which the entry reaches no server. */
  readonly cutOffServices?: () => number;
  /** Number of data centres whose servers get no requests. */
  readonly evacuatedDataCentres?: () => number;
  readonly peerTraffic?: () => PeerTraffic;
  /** How much of each kind the calls in progress hold. */
  readonly heldResources?: () => Iterable<
    readonly [kind: string, count: number]
  >;
}

/** What a request to a backend server is for. */
export type ServerRequestKind =
  | "call"
  | "check"
  | "probe"
  /** Only a connection is opened. */
  | "connection_check"
  /** Shows which of several announced addresses is a server's. */
  | "identity_check";

/**
 * How an entry got a configuration: control published it, answered a heartbeat
 * with it, or another entry sent it.
 */
export type ConfigurationWay = "push" | "answer" | "peer";

/** A call whose response has ended. */
export interface FinishedCall {
  readonly service: string;
  readonly class: string;
  readonly outcome: Outcome;
  /** The error code, if mangobank responded in place of a backend server. */
  readonly code?: CallFaultCode;
  /** Urgency of the call, if its route or tenant has one. */
  readonly rank?: number | undefined;
  /** Why a ranked call was refused in an overload. */
  readonly reason?: RefusalReason | undefined;
  /** Time from arrival to the end of the response, in milliseconds. */
  readonly ms: number;
}

/** Ranks with a time series of their own: 0 to one less than this. */
const LABELLED_RANKS = 8;

/** Prometheus metrics of an entry process, in their own registry. */
export class Metrics {
  readonly #registry = new Registry();
  readonly quotas = new QuotaMetrics(this.#registry);
  readonly #labels = new ServiceLabels();
  readonly #latency;
  readonly #waiting;
  readonly #calls;
  readonly #overloadRefusals;
  readonly #probeCost;
  readonly #probes;
  readonly #serverRequests;
  readonly #malformedHeaders;
  readonly #brokenAnswers;
  readonly #droppedRequests;
  readonly #exceededBounds;
  readonly #handedOverCalls;
  readonly #configurationDelay;

  constructor(sources: MetricsSources = {}) {
    const registers = [this.#registry];
    registerProcessMetrics(this.#registry);
    this.#latency = new Histogram({
      name: "mangobank_call_duration_seconds",
      help: "Time from a call's arrival to the end of its answer",
      labelNames: ["service", "class"],
      buckets: LATENCY_BUCKETS_S,
      registers,
    });
    this.#configurationDelay = new Histogram({
      name: "mangobank_configuration_delay_seconds",
      help: "Time for which the sender had a configuration that came into force",
      labelNames: ["way"],
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
    this.#overloadRefusals = new Counter({
      name: "mangobank_overload_refusals_total",
      help: "Calls refused because of an overload, by rank and reason",
      labelNames: ["rank", "reason"],
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
    this.#serverRequests = new Counter({
      name: "mangobank_server_requests_total",
      help: "Requests sent to backend servers: calls, checks and probes",
      labelNames: ["service", "kind"],
      registers,
    });
    this.#malformedHeaders = new Counter({
      name: "mangobank_malformed_server_headers_total",
      help: "Headers in answers of backend servers that cannot be read",
      labelNames: ["service"],
      registers,
    });
    this.#brokenAnswers = new Counter({
      name: "mangobank_broken_answers_total",
      help: "Connections closed before an answer was written, by who closed",
      labelNames: ["by"],
      registers,
    });
    this.#droppedRequests = new Counter({
      name: "mangobank_dropped_requests_total",
      help: "Requests behind the last answer of their connection",
      registers,
    });
    this.#exceededBounds = new Counter({
      name: "mangobank_exceeded_response_bounds_total",
      help: "Responses of backend servers that exceeded a bound",
      labelNames: ["service", "bound"],
      registers,
    });
    this.#handedOverCalls = new Counter({
      name: "mangobank_handed_over_calls_total",
      help: "Calls passed on to another entry, by how that ended",
      labelNames: ["end"],
      registers,
    });
    this.#registerGauges(sources);
  }

  /**
   * Sets the services and classes that have label values of their own (others
   * count as `other`) and drops the series of removed ones.
   */
  configure(services: readonly Service[]): void {
    const removed = this.#labels.configure(services);
    for (const service of removed.services) {
      this.#probes.remove({ service });
      this.#probeCost.remove({ service });
      this.#malformedHeaders.remove({ service });
      for (const bound of RESPONSE_BOUNDS) {
        this.#exceededBounds.remove({ service, bound });
      }
      for (const kind of SERVER_REQUEST_KINDS) {
        this.#serverRequests.remove({ service, kind });
      }
    }
    for (const labels of removed.classes) {
      this.#latency.remove(labels);
      this.#waiting.remove(labels);
    }
    for (const labels of removed.outcomes) this.#calls.remove(labels);
  }

  /** Records a call that has ended. */
  recordCall(call: FinishedCall): void {
    const { outcome, code = "none" } = call;
    const labels = this.#labels.classLabels(call.service, call.class);
    this.#latency.observe(labels, call.ms / 1_000);
    this.#calls.inc(this.#labels.outcomeLabels(labels, { outcome, code }));
    const { rank, reason } = call;
    if (rank === undefined || !reason) return;
    this.#overloadRefusals.inc({ rank: rankLabel(rank), reason });
  }

  /** Records an answer that was not written whole, and who closed it. */
  recordBrokenAnswer(by: "client" | "server"): void {
    this.#brokenAnswers.inc({ by });
  }

  /** Records how a configuration arrived and how old it was at the sender. */
  recordConfiguration(way: ConfigurationWay, ageMs: number): void {
    this.#configurationDelay.observe({ way }, ageMs / 1_000);
  }

  /** Records a request that came behind the last answer of its connection. */
  recordDroppedRequest(): void {
    this.#droppedRequests.inc();
  }

  /** Records the time in milliseconds that a call spent in its queue. */
  recordWait(call: { service: string; class: string; ms: number }): void {
    this.#waiting.observe(
      this.#labels.classLabels(call.service, call.class),
      call.ms / 1_000,
    );
  }

  /** Records a probe and the time in milliseconds for which it took a slot. */
  recordProbe(service: string, ms: number): void {
    const label = this.#labels.serviceLabel(service);
    this.#probes.inc({ service: label });
    this.#probeCost.inc({ service: label }, ms / 1_000);
  }

  /** Records a request that is sent to a backend server. */
  recordServerRequest(service: string, kind: ServerRequestKind): void {
    const label = this.#labels.serviceLabel(service);
    this.#serverRequests.inc({ service: label, kind });
  }

  /** Records how the attempt to pass a call on to another entry ended. */
  recordHandover(end: string): void {
    this.#handedOverCalls.inc({ end });
  }

  /** Records a header of an answer that cannot be read. */
  recordMalformedHeader(service: string): void {
    const label = this.#labels.serviceLabel(service);
    this.#malformedHeaders.inc({ service: label });
  }

  /** Records a response that exceeded a bound. */
  recordExceededBound(service: string, bound: ResponseBound): void {
    const label = this.#labels.serviceLabel(service);
    this.#exceededBounds.inc({ service: label, bound });
  }

  /** Content type of the result of `text`. */
  get contentType(): string {
    return this.#registry.contentType;
  }

  /** Renders all metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  #registerGauges(sources: MetricsSources): void {
    const { configurationVersion, cutOffServices, peerTraffic } = sources;
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
    if (cutOffServices) {
      new Gauge({
        name: "mangobank_cut_off_services",
        help: "Services of which this entry reaches no server",
        registers: [this.#registry],
        collect() {
          this.set(cutOffServices());
        },
      });
    }
    const { evacuatedDataCentres } = sources;
    if (evacuatedDataCentres) {
      new Gauge({
        name: "mangobank_evacuated_data_centres",
        help: "Data centres whose servers get no requests, as ordered",
        registers: [this.#registry],
        collect() {
          this.set(evacuatedDataCentres());
        },
      });
    }
    const { heldResources } = sources;
    if (heldResources) {
      new Gauge({
        name: "mangobank_held_resources",
        help: "What calls in progress hold: slots, connections, places in queues",
        labelNames: ["kind"],
        registers: [this.#registry],
        collect() {
          for (const [kind, count] of heldResources())
            this.set({ kind }, count);
        },
      });
    }
    this.#registerServiceGauge(sources.callsInFlight, {
      name: "mangobank_calls_in_flight",
      help: "Calls at backend servers",
    });
    this.#registerServiceGauge(sources.queueLength, {
      name: "mangobank_queue_length",
      help: "Calls waiting for a slot",
    });
    this.#registerServiceGauge(sources.probeBudget, {
      name: "mangobank_probe_budget_slots",
      help: "Slots that probes may take on average, all entries together",
    });
    this.#registerServiceGauge(sources.rateLimitedServers, {
      name: "mangobank_rate_limited_servers",
      help: "Backend servers that limit their request rate, as known here",
    });
    this.#registerServiceGauge(sources.coldServers, {
      name: "mangobank_cold_servers",
      help: "Cold backend servers whose requests are spaced, as known here",
    });
    this.#registerServiceGauge(sources.backingOffServers, {
      name: "mangobank_backing_off_servers",
      help: "Backend servers that want no requests of this entry at present",
    });
    if (peerTraffic) registerPeerTraffic(this.#registry, peerTraffic);
  }

  #registerServiceGauge(
    source: (() => ValuesByService) | undefined,
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
          const service = labels.serviceLabel(name);
          if (service === OTHER_LABEL) this.inc({ service }, value);
          else this.set({ service }, value);
        }
      },
    });
  }
}

/** Operators choose ranks freely, so only the first ones are told apart. */
function rankLabel(rank: number): string {
  const isLabelled =
    Number.isInteger(rank) && rank >= 0 && rank < LABELLED_RANKS;
  return isLabelled ? String(rank) : OTHER_LABEL;
}
