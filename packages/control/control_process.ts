import { err, ok, type Result } from "neverthrow";
import {
  type AgreementMessages,
  type AgreementStatus,
  type AgreementStorage,
  hostOf,
  type MemberChange,
  type ReplicatedLog,
  type StopFault,
  type StorageFault,
} from "#agreement";
import {
  AcceptanceTracker,
  type ConfigurationMessages,
  EntryTable,
  type InventoryMessages,
} from "#configuration";
import type {
  BackendServer,
  Clock,
  Configuration,
  HostId,
  Randomness,
} from "#model";
import { type PresenceMessages, TICK_INTERVAL_MS } from "#presence";
import { Registry, type RegistryCommand, type RegistryReply } from "#registry";
import type { ControlSettings, FoundingMember } from "#settings";
import { openReplicatedLog } from "#storage";
import type { Logger } from "#telemetry";
import { type ListenFault, openLoggedNetwork, type TcpNetwork } from "#wire";
import { ControlPeers } from "./control_peers.ts";
import { Inventory } from "./inventory.ts";
import { LeaderDuties } from "./leader_duties.ts";
import { MemberAdmission } from "./member_admission.ts";
import { Publisher } from "./publisher.ts";
import { ServerRegistrar } from "./server_registrar.ts";

type ControlMessages = AgreementMessages &
  ConfigurationMessages &
  InventoryMessages &
  PresenceMessages;

/**
 * Changes between snapshots. A restart replays those after the last one in one
 * turn of the event loop, at about a millisecond each. A replay longer than the
 * election timeout (1 s) makes a new leader step down again.
 */
const SNAPSHOT_EVERY_CHANGES = 250;
/** How often heartbeats are relayed and the leader looks at what is due. */
const DUTIES_EVERY_MS = 250;
/** Time after which a silent entry is no longer listed. */
const FORGET_ENTRY_MS = 3_600_000;
/** How often a change is checked for being in force at enough entries. */
const ACCEPTANCE_CHECK_MS = 10;
/** Below the 6 s that the command line waits for one answer. */
const ACCEPTANCE_TIMEOUT_MS = 5_000;

export type ControlFault = ListenFault | StorageFault;

export interface ControlOptions {
  readonly settings: ControlSettings;
  readonly storage: AgreementStorage;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly randomness: Randomness;
}

/** The control role: the agreed state and its spread to entries. */
export class ControlProcess {
  readonly #options: ControlOptions;
  readonly #network: TcpNetwork<ControlMessages>;
  readonly #registry: Registry;
  readonly #log: ReplicatedLog<RegistryCommand, RegistryReply>;
  readonly #table: EntryTable;
  readonly #acceptance: AcceptanceTracker;
  readonly #publisher: Publisher;
  readonly #duties: LeaderDuties;
  readonly #inventory: Inventory;
  readonly #connectedSince: ReadonlyMap<HostId, number>;
  /** Backend servers that announce themselves here. */
  readonly registrar: ServerRegistrar;
  readonly #peers: ControlPeers;
  readonly #admission: MemberAdmission | undefined;
  readonly #timers: NodeJS.Timeout[];
  #submitting = false;

  private constructor(options: ControlOptions, parts: Parts) {
    this.#options = options;
    const { network, registry, log, table, acceptance, publisher } = parts;
    this.#connectedSince = parts.connectedSince;
    this.#network = network;
    this.#registry = registry;
    this.#log = log;
    this.#table = table;
    this.#acceptance = acceptance;
    this.#publisher = publisher;
    this.#duties = new LeaderDuties({
      clock: options.clock,
      table,
      acceptance,
    });
    this.#inventory = new Inventory(network);
    this.registrar = parts.registrar;
    this.#peers = parts.peers;
    this.#admission =
      options.settings.discovery &&
      new MemberAdmission({
        log,
        clock: options.clock,
        logger: options.logger,
      });
    this.#timers = [
      setInterval(() => this.#tick(), DUTIES_EVERY_MS),
      setInterval(() => this.registrar.tick(), TICK_INTERVAL_MS),
    ];
  }

  /** Reads the data folder, connects to the other members and serves. */
  static async open(
    options: ControlOptions,
  ): Promise<Result<ControlProcess, ControlFault>> {
    const { settings, storage, clock, randomness, logger } = options;
    const registry = new Registry();
    const table = new EntryTable();
    const acceptance = new AcceptanceTracker();
    const incarnation = Math.floor(clock.wallTime());
    const connectedSince = new Map<HostId, number>();
    const network = openLoggedNetwork<ControlMessages>({
      ...options,
      role: "control",
      incarnation,
      up: ({ id, role }) => {
        connectedSince.set(id, clock.now());
        logger.info("peer connected", { peer: id, role });
        if (role === "entry") registrar.entryUp(id);
      },
      down: ({ id, role }) => {
        connectedSince.delete(id);
        logger.info("peer lost", { peer: id, role });
        publisher.disconnected(id);
        if (role === "entry") registrar.entryDown(id);
      },
    });
    const registrar = new ServerRegistrar({
      ...options,
      incarnation,
      network,
    });
    const peers = new ControlPeers({ settings, network });
    const publisher: Publisher = new Publisher({
      network,
      clock,
      table,
      confirm: async () => (await log?.confirm())?.isOk() ?? false,
      others: () => peers.others(),
    });
    const publish = () => {
      const configuration = registry.configuration();
      acceptance.update(configuration);
      publisher.publish(configuration);
      peers.configure(configuration);
      registrar.configure(configuration);
    };
    let log: ReplicatedLog<RegistryCommand, RegistryReply> | undefined;
    const opened = await openReplicatedLog<RegistryCommand, RegistryReply>({
      self: settings.id,
      founders: peers.founders,
      peers: peers.others(),
      network,
      storage,
      clock,
      randomness,
      logger,
      limits: { snapshotEveryEntries: SNAPSHOT_EVERY_CHANGES },
      machine: {
        apply: (_index, command) => {
          const reply = registry.apply(command);
          publish();
          return reply;
        },
        snapshot: () => registry.snapshot(),
        restore: (bytes) => {
          const restored = registry.restore(bytes);
          if (restored.isErr()) throw new Error(JSON.stringify(restored.error));
          publish();
        },
      },
    });
    if (opened.isErr()) {
      network.close();
      return err(opened.error);
    }
    log = opened.value;
    const listening = await network.listen(settings.peer);
    if (listening.isErr()) {
      await log.close();
      network.close();
      return err(listening.error);
    }
    peers.connect();
    return ok(
      new ControlProcess(options, {
        network,
        registry,
        log,
        table,
        acceptance,
        publisher,
        connectedSince,
        registrar,
        peers,
      }),
    );
  }

  get registry(): Registry {
    return this.#registry;
  }

  get table(): EntryTable {
    return this.#table;
  }

  /** Since when a version has been superseded here; epoch milliseconds. */
  supersededAt(version: number): number | undefined {
    return this.#publisher.supersededAt(version);
  }

  /** Backend servers as one of the connected entries knows them. */
  servers(): Promise<readonly BackendServer[]> {
    return this.#inventory.ask(
      this.#network
        .connected()
        .flatMap(({ id, role }) => (role === "entry" ? [id] : [])),
    );
  }

  /** Time for which a process has been connected; undefined if it is not. */
  connectedForMs(id: HostId): number | undefined {
    const since = this.#connectedSince.get(id);
    return since && this.#options.clock.now() - since;
  }

  /** Bytes to and from other processes. */
  get traffic() {
    return this.#network.traffic;
  }

  /** Settles when the log has stopped; with the fault that stopped it. */
  get stopped(): Promise<StopFault | undefined> {
    return this.#log.stopped;
  }

  status(): AgreementStatus {
    return this.#log.status();
  }

  /** Takes other seeds from changed settings. */
  setSeeds(seeds: readonly FoundingMember[]): void {
    this.#peers.setSeeds(seeds);
  }

  /** Whether the agreed state has it that this incarnation leaves. */
  knowsLeaving(id: string, incarnation: number): boolean {
    const { leaving } = this.#registry.configuration();
    const known = leaving.find((server) => server.id === id);
    return known !== undefined && known.incarnation >= incarnation;
  }

  /** Changes the membership of the control hosts. */
  changeMembers(change: MemberChange) {
    return this.#log.changeMembers(change);
  }

  /** Replaces a control host that lost its disk. */
  replaceMember(host: HostId) {
    return this.#log.replaceMember(host);
  }

  /** Applies a command on a majority and gives the registry's reply. */
  submit(command: RegistryCommand) {
    return this.#log.submit(command);
  }

  /** Resolves once a linearizable read index is applied here. */
  confirm() {
    return this.#log.confirm();
  }

  /**
   * Waits until no entry can go on serving without this version for longer
   * than a confirmation lasts; false if that takes too long.
   */
  async inForce(version: number): Promise<boolean> {
    const { clock, logger } = this.#options;
    const deadline = clock.now() + ACCEPTANCE_TIMEOUT_MS;
    while (!this.#acceptance.isAccepted(version, this.#table)) {
      if (clock.now() >= deadline) {
        const silent = this.#silentEntries(version);
        logger.warn("a change is not in force yet", { version, silent });
        return false;
      }
      await new Promise((resolve) => setTimeout(resolve, ACCEPTANCE_CHECK_MS));
    }
    return true;
  }

  async close(): Promise<void> {
    for (const timer of this.#timers) clearInterval(timer);
    this.#publisher.close();
    await this.#log.close();
    this.#network.close();
  }

  #silentEntries(version: number): HostId[] {
    const views = this.#acceptance.unsettledViews(this.#table);
    const { view } = this.#registry.configuration();
    const entries = [view, ...views].flatMap((view) => view.entries);
    const lagging = entries.filter(({ id, incarnation }) => {
      const status = this.#table.get(id);
      if (status === undefined) return true;
      return status.incarnation === incarnation && status.version < version;
    });
    return [...new Set(lagging.map(({ id }) => id))];
  }

  #tick(): void {
    const { clock } = this.#options;
    this.#publisher.relaySightings();
    this.#table.removeSilent(FORGET_ENTRY_MS, clock.now());
    void this.#lead();
    void this.#admission?.tick();
  }

  #controlsChanged(
    { membership }: AgreementStatus,
    { controls }: Configuration,
  ): RegistryCommand[] {
    if (!this.#options.settings.discovery) return [];
    const members = [...membership.voters, ...membership.learners];
    const next = this.#peers.addressesOf(members.map(hostOf));
    if (JSON.stringify(next) === JSON.stringify(controls)) return [];
    const at = Math.floor(this.#options.clock.wallTime());
    return [{ type: "controls_changed", controls: next, at }];
  }

  async #lead(): Promise<void> {
    if (this.#submitting) return;
    this.#submitting = true;
    const status = this.#log.status();
    const leading = status.role === "leader";
    const configuration = this.#registry.configuration();
    const commands = [
      ...this.#duties.due(leading, configuration),
      ...(leading ? this.#controlsChanged(status, configuration) : []),
    ];
    const answers = await Promise.all(
      commands.map((command) => this.#log.submit(command)),
    );
    answers.forEach((answer, index) => {
      if (answer.isOk()) return;
      const command = commands[index]?.type;
      this.#options.logger.warn("command of the leader not confirmed", {
        command,
        fault: answer.error.type,
      });
    });
    this.#submitting = false;
  }
}

interface Parts {
  readonly network: TcpNetwork<ControlMessages>;
  readonly registry: Registry;
  readonly log: ReplicatedLog<RegistryCommand, RegistryReply>;
  readonly table: EntryTable;
  readonly acceptance: AcceptanceTracker;
  readonly publisher: Publisher;
  readonly connectedSince: ReadonlyMap<HostId, number>;
  readonly registrar: ServerRegistrar;
  readonly peers: ControlPeers;
}
