import { type DataCentre, EMPTY_VIEW, type HostId, type View } from "#model";
import type { Topology, TopologyPosition } from "./dissemination.ts";
import { isRelay, type Relays, selectRelays } from "./relays.ts";

export interface TopologyTrackerOptions {
  readonly id: HostId;
  readonly dataCentre: DataCentre;
  /** True at a process that is no entry but registers servers. */
  readonly registrarOnly?: boolean;
  /** Entries above which relays are used, if not the default. */
  readonly maxMeshEntries?: number | undefined;
}

/**
 * Derives from the view and the open connections which processes this one
 * exchanges lists with.
 */
export class TopologyTracker {
  readonly connected = new Set<HostId>();
  readonly #options: TopologyTrackerOptions;
  #view: View = EMPTY_VIEW;
  /** Absent while every entry of the view is linked to every other. */
  #relays: Relays | undefined;
  /** Processes that are not entries but accept announcements of servers. */
  #registrars: readonly HostId[] = [];
  #topology: Topology;

  constructor(options: TopologyTrackerOptions) {
    this.#options = options;
    const { id, dataCentre } = options;
    this.#topology = { self: { id, dataCentre }, peers: [] };
  }

  get topology(): Topology {
    return this.#topology;
  }

  configure(view: View, registrars: readonly HostId[]): void {
    if (this.#view !== view) {
      this.#relays = selectRelays(view, this.#options.maxMeshEntries);
    }
    this.#view = view;
    this.#registrars = registrars;
    this.#update();
  }

  connect(id: HostId): void {
    this.connected.add(id);
    this.#update();
  }

  disconnect(id: HostId): void {
    this.connected.delete(id);
    this.#update();
  }

  /**
   * The owners whose summaries must arrive regularly. Where relays are used,
   * lists of other data centres are sent only while they contain servers.
   */
  expectedOwners(): HostId[] {
    const { dataCentre, registrarOnly } = this.#options;
    if (this.#relays && registrarOnly) return [];
    const entries = this.#relays
      ? this.#view.entries.filter((entry) => entry.dataCentre === dataCentre)
      : this.#view.entries;
    return [...entries.map(({ id }) => id), ...this.#registrars];
  }

  /** False for an entry whose link to this one is lost. */
  mayBeReachable(owner: HostId): boolean {
    if (this.connected.has(owner)) return true;
    if (!this.#relays) return false;
    const { dataCentre } = this.#options;
    const isLinked =
      this.#topology.position === "relay" ||
      isRelay(this.#relays, { id: owner, dataCentre });
    return !isLinked;
  }

  /** The entries of other data centres, if their load is not sent here. */
  entriesWithoutReports(): { id: HostId; stopping: boolean }[] {
    if (!this.#relays) return [];
    const { dataCentre } = this.#options;
    return this.#view.entries
      .filter((entry) => entry.dataCentre !== dataCentre)
      .map(({ id, state }) => ({ id, stopping: state === "stopping" }));
  }

  #update(): void {
    const { id, dataCentre } = this.#options;
    const dataCentres = new Map(
      this.#view.entries.map((e) => [e.id, e.dataCentre]),
    );
    const registrars = new Set(this.#relays ? this.#registrars : []);
    const peers = [...this.connected]
      .filter((peer) => peer !== id && !registrars.has(peer))
      // The data centre of a joining entry is unknown until the view has it;
      // until then it is assumed to be in this one.
      .map((peer) => ({
        id: peer,
        dataCentre: dataCentres.get(peer) ?? dataCentre,
      }));
    this.#topology = {
      self: { id, dataCentre },
      position: this.#position(),
      peers,
      relays: this.#relays,
    };
  }

  #position(): TopologyPosition {
    const { id, dataCentre, registrarOnly } = this.#options;
    if (registrarOnly) return "registrar";
    const isRelaying =
      this.#relays && isRelay(this.#relays, { id, dataCentre });
    return isRelaying ? "relay" : "member";
  }
}
