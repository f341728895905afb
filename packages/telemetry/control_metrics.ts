import { Counter, Gauge, Registry } from "prom-client";
import { type PeerTraffic, registerPeerTraffic } from "./peer_traffic.ts";
import { registerProcessMetrics } from "./process_metrics.ts";

/** Functions that read the state of the disk at each scrape. */
export interface DiskMetricsSources {
  /** Whether the disk took the last write. */
  readonly diskWritable: () => boolean;
  /** Numbers of failed writes, by error code. */
  readonly failedWrites: () => ReadonlyMap<string, number>;
}

/** Functions that read the current values of a control host at each scrape. */
export interface ControlMetricsSources extends DiskMetricsSources {
  readonly configurationVersion: () => number;
  readonly appliedIndex: () => number;
  readonly term: () => number;
  readonly leading: () => boolean;
  /** Number of entries that any control host heard from within their lease. */
  readonly liveEntries: () => number;
  readonly peerTraffic: () => PeerTraffic;
}

/** A call by which other programs tell a control host something. */
export type InputCall = "heartbeat" | "deregistration" | "patch";

/**
 * Prometheus metrics of a control process, in their own registry. While control
 * is closed, only those of the disk and of the process have sources.
 */
export class ControlMetrics {
  readonly #registry = new Registry();
  readonly #refusedInputs;

  constructor(sources: ControlMetricsSources | DiskMetricsSources) {
    registerProcessMetrics(this.#registry);
    this.#refusedInputs = new Counter({
      name: "mangobank_refused_inputs_total",
      help: "Inputs that were refused or changed nothing, by call and reason",
      labelNames: ["call", "reason"],
      registers: [this.#registry],
    });
    this.#registerGauge("mangobank_disk_writable", {
      help: "1 if the disk took the last write",
      value: () => (sources.diskWritable() ? 1 : 0),
    });
    this.#registerFailedWrites(sources.failedWrites);
    if ("term" in sources) this.#registerControl(sources);
  }

  /** Counts an input; `reason` is one of a fixed set of names. */
  recordRefusedInput(call: InputCall, reason: string): void {
    this.#refusedInputs.inc({ call, reason });
  }

  /** Content type of the result of `text`. */
  get contentType(): string {
    return this.#registry.contentType;
  }

  /** Renders all metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  #registerControl(sources: ControlMetricsSources): void {
    this.#registerGauge("mangobank_configuration_version", {
      help: "Configuration version applied here",
      value: sources.configurationVersion,
    });
    this.#registerGauge("mangobank_log_applied_index", {
      help: "Index of the last applied entry of the replicated log",
      value: sources.appliedIndex,
    });
    this.#registerGauge("mangobank_log_term", {
      help: "Election term of the replicated log",
      value: sources.term,
    });
    this.#registerGauge("mangobank_log_leader", {
      help: "1 if this host leads the replicated log",
      value: () => (sources.leading() ? 1 : 0),
    });
    this.#registerGauge("mangobank_live_entries", {
      help: "Entries heard from within their lease",
      value: sources.liveEntries,
    });
    registerPeerTraffic(this.#registry, sources.peerTraffic);
  }

  #registerFailedWrites(numbers: () => ReadonlyMap<string, number>): void {
    new Counter({
      name: "mangobank_disk_failed_writes_total",
      help: "Operations on the data folder that failed, by error code",
      labelNames: ["code"],
      registers: [this.#registry],
      collect() {
        this.reset();
        for (const [code, number] of numbers()) this.inc({ code }, number);
      },
    });
  }

  #registerGauge(
    name: string,
    options: { help: string; value: () => number },
  ): void {
    const { help, value } = options;
    new Gauge({
      name,
      help,
      registers: [this.#registry],
      collect() {
        this.set(value());
      },
    });
  }
}
