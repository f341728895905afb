import { collectDefaultMetrics, Gauge, Registry } from "prom-client";
import { type PeerTraffic, registerPeerTraffic } from "./peer_traffic.ts";

/** Values of a control host, read at each scrape. */
export interface ControlSources {
  readonly configurationVersion: () => number;
  readonly appliedIndex: () => number;
  readonly term: () => number;
  readonly leading: () => boolean;
  /** Entries heard from within their lease, by any control host. */
  readonly liveEntries: () => number;
  readonly peerTraffic: () => PeerTraffic;
}

/** Metrics of a control process, in a registry of its own. */
export class ControlMetrics {
  readonly #registry = new Registry();

  constructor(sources: ControlSources) {
    collectDefaultMetrics({ register: this.#registry });
    this.#gauge("mangobank_configuration_version", {
      help: "Configuration version applied here",
      value: sources.configurationVersion,
    });
    this.#gauge("mangobank_log_applied_index", {
      help: "Index of the last applied entry of the replicated log",
      value: sources.appliedIndex,
    });
    this.#gauge("mangobank_log_term", {
      help: "Election term of the replicated log",
      value: sources.term,
    });
    this.#gauge("mangobank_log_leader", {
      help: "1 if this host leads the replicated log",
      value: () => (sources.leading() ? 1 : 0),
    });
    this.#gauge("mangobank_live_entries", {
      help: "Entries heard from within their lease",
      value: sources.liveEntries,
    });
    registerPeerTraffic(this.#registry, sources.peerTraffic);
  }

  /** The media type of `text`. */
  get contentType(): string {
    return this.#registry.contentType;
  }

  /** All metrics in the text exposition format. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  #gauge(name: string, options: { help: string; value: () => number }): void {
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
