import { err, ok, type Result } from "neverthrow";
import {
  CONSENSUS_DECODERS,
  type ConsensusMessages,
  type ConsensusStatus,
  type ConsensusStorage,
  hostOf,
  type MemberChange,
  type ReplicatedLog,
  type StopFault,
  type StorageFault,
} from "#agreement";
import {
  AcceptanceTracker,
  CONFIGURATION_DECODERS,
  type ConfigurationMessages,
  EntryTable,
  INVENTORY_DECODERS,
  type InventoryMessages,
} from "#configuration";
import type {
  BackendServer,
  Clock,
  Configuration,
  HostId,
  MessageDecoders,
  Randomness,
} from "#model";
import {
  PRESENCE_DECODERS,
  type PresenceMessages,
  TICK_INTERVAL_MS,
} from "#presence";
import { checkIdentity } from "#registration";
import { Registry, type RegistryCommand, type RegistryReply } from "#registry";
import type { ControlSettings, FoundingMember } from "#settings";
import { openReplicatedLog } from "#storage";
import { type Logger, OwnTasks } from "#telemetry";
import {
  afterPendingInput,
  createLoggedNetwork,
  type ListenFault,
  type TcpNetwork,
} from "#wire";
import { isAdmitted } from "./command_admission.ts";
import { ControlPeers } from "./control_peers.ts";
import { ServerInventory } from "./inventory.ts";
import { LeaderDuties } from "./leader_duties.ts";
import { MembershipManager } from "./membership_manager.ts";
import { ConfigurationPublisher } from "./publisher.ts";
import { ServerRegistrar } from "./server_registrar.ts";

type ControlMessages = ConsensusMessages &
  ConfigurationMessages &
  InventoryMessages &
  PresenceMessages;

const CONTROL_DECODERS: MessageDecoders<ControlMessages> = {
  ...CONSENSUS_DECODERS,
  ...CONFIGURATION_DECODERS,
  ...INVENTORY_DECODERS,
  ...PRESENCE_DECODERS,
};

/**
 * Commands between snapshots. A restart replays the commands after the last
 * snapshot in one turn of the event loop, at about a millisecond each. If that
 * takes longer than the election timeout (1 s), a new leader steps down again.
 */
const COMMANDS_PER_SNAPSHOT = 250;
/** How often heartbeats are relayed and the leader submits due commands. */
const CONTROL_TICK_MS = 250;
/** How often the leader decides whether the membership has to change. */
const MEMBERSHIP_TICK_MS = 100;
/** Time after which an entry without heartbeats is no longer listed. */
const ENTRY_RETENTION_MS = 3_600_000;
/** How often to check whether a change is in force on enough entries. */
const ACCEPTANCE_CHECK_MS = 10;
/**
 * Longest wait for a change to be in force. Shorter than the 6 s that the
 * command line waits for a reply.
 */
const ACCEPTANCE_TIMEOUT_MS = 5_000;

export type ControlFault = ListenFault | StorageFault;

export interface ControlOptions {
  readonly settings: ControlSettings;
  readonly storage: ConsensusStorage;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly randomness: Randomness;
  /**
   * Header of a health check's answer that names the answering server, if servers
   * have one: shows which of several announced addresses is a server's.
   */
  readonly serverIdentityHeader?: string;
}

/**
 * The control role of a host: a member of the replicated log, which holds the
 * configuration and publishes it to the entries.
 */
export class ControlProcess {
  readonly #options: ControlOptions;
  readonly #network: TcpNetwork<ControlMessages>;
  readonly #registry: Registry;
  readonly #log: ReplicatedLog<RegistryCommand, RegistryReply>;
  readonly #entryTable: EntryTable;
  readonly #acceptance: AcceptanceTracker;
  readonly #publisher: ConfigurationPublisher;
  readonly #leaderDuties: LeaderDuties;
  readonly #inventory: ServerInventory;
  readonly #connectedSince: ReadonlyMap<HostId, number>;
  /** The backend servers that announce themselves at this host. */
  readonly registrar: ServerRegistrar;
  readonly #peers: ControlPeers;
  readonly #membershipManager: MembershipManager | undefined;
  readonly #tasks: OwnTasks;
  readonly #timers: NodeJS.Timeout[];
  #isSubmitting = false;

  private constructor(options: ControlOptions, components: Components) {
    this.#options = options;
    this.#tasks = new OwnTasks(options);
    const { network, registry, log, table, acceptance, publisher } = components;
    this.#connectedSince = components.connectedSince;
    this.#network = network;
    this.#registry = registry;
    this.#log = log;
    this.#entryTable = table;
    this.#acceptance = acceptance;
    this.#publisher = publisher;
    this.#leaderDuties = new LeaderDuties({
      clock: options.clock,
      table,
      acceptance,
    });
    this.#inventory = new ServerInventory(network);
    this.registrar = components.registrar;
    this.#peers = components.peers;
    this.#membershipManager =
      options.settings.discovery &&
      new MembershipManager({
        log,
        clock: options.clock,
        logger: options.logger,
      });
    // The others hold an election once the connections to the leader are closed;
    // the requests in progress, which `close` waits for, must not delay that.
    this.#tasks.run("log_stopped", async () => {
      if (await this.#log.stopped) this.#network.close();
    });
    this.#timers = [
      // An entry whose heartbeats wait to be read is not silent.
      setInterval(() => afterPendingInput(() => this.#tick()), CONTROL_TICK_MS),
      // A learner that has caught up is promoted soon after: its host counts as lost
      // until then.
      setInterval(
        () => afterPendingInput(() => this.#tickMembership()),
        MEMBERSHIP_TICK_MS,
      ),
      setInterval(
        () => this.#tasks.run("presence", () => this.registrar.tick()),
        TICK_INTERVAL_MS,
      ),
    ];
  }

  /** Loads the stored state, connects to the other members and serves. */
  static async open(
    options: ControlOptions,
  ): Promise<Result<ControlProcess, ControlFault>> {
    const { settings, storage, clock, randomness, logger } = options;
    const registry = new Registry();
    const table = new EntryTable();
    const acceptance = new AcceptanceTracker();
    const incarnation = Math.floor(clock.wallTime());
    const connectedSince = new Map<HostId, number>();
    const tasks = new OwnTasks(options);
    const network = createLoggedNetwork<ControlMessages>({
      ...options,
      decoders: CONTROL_DECODERS,
      onFailure: (task, error) => tasks.fail(task, error),
      role: "control",
      incarnation,
      onConnect: ({ id, role, build }) => {
        connectedSince.set(id, clock.now());
        logger.info("peer connected", { peer: id, peerRole: role, build });
        if (role === "entry") registrar.handleEntryConnected(id);
      },
      onDisconnect: ({ id, role }, fault) => {
        connectedSince.delete(id);
        logger.info("peer lost", { peer: id, peerRole: role });
        publisher.handleDisconnect(id);
        if (role === "entry") registrar.handleEntryDisconnected(id);
        // A link that is only silent doesn't show that the process has ended.
        else if (fault.type === "link_closed") log?.handleDisconnect(id);
      },
    });
    const header = options.serverIdentityHeader;
    const registrar = new ServerRegistrar({
      ...options,
      incarnation,
      network,
      verify:
        header === undefined
          ? undefined
          : (server) => {
              const { services } = registry.configuration().document;
              const service = services.find((s) => s.name === server.service);
              const path = service?.healthPath ?? "/";
              return checkIdentity(server, { path, header });
            },
    });
    const peers = new ControlPeers({ settings, network });
    const publisher: ConfigurationPublisher = new ConfigurationPublisher({
      network,
      clock,
      logger,
      table,
      confirmRead: async () => (await log?.confirmRead())?.isOk() ?? false,
      otherControlHosts: () => peers.otherHosts(),
    });
    const publish = () => {
      const configuration = registry.configuration();
      acceptance.update(configuration);
      publisher.publish(configuration);
      peers.applyConfiguration(configuration);
      registrar.applyConfiguration(configuration);
    };
    let log: ReplicatedLog<RegistryCommand, RegistryReply> | undefined;
    const opened = await openReplicatedLog<RegistryCommand, RegistryReply>({
      self: settings.id,
      founders: peers.founders,
      peers: peers.otherHosts(),
      seeds: peers.seeds,
      network,
      storage,
      clock,
      randomness,
      logger,
      limits: { snapshotEveryEntries: COMMANDS_PER_SNAPSHOT },
      machine: {
        apply: (_index, command) => {
          const reply = registry.apply(command);
          publish();
          return reply;
        },
        admits: (command, pending) => isAdmitted(registry, command, pending),
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
    peers.applyMembership(log.status().membership);
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

  get entryTable(): EntryTable {
    return this.#entryTable;
  }

  /** When this host got a newer version than this one; epoch milliseconds. */
  supersededAt(version: number): number | undefined {
    return this.#publisher.supersededAt(version);
  }

  /** The backend servers that one of the connected entries knows. */
  servers(): Promise<readonly BackendServer[]> {
    return this.#inventory.fetchServers(
      this.#network
        .connected()
        .flatMap(({ id, role }) => (role === "entry" ? [id] : [])),
    );
  }

  /** How long a process has been connected; undefined if it is not. */
  connectedForMs(id: HostId): number | undefined {
    const since = this.#connectedSince.get(id);
    return since && this.#options.clock.now() - since;
  }

  /** Bytes sent to and received from other processes. */
  get traffic() {
    return this.#network.traffic;
  }

  /** Resolves when the log has stopped, with the fault if there was one. */
  get stopped(): Promise<StopFault | undefined> {
    return this.#log.stopped;
  }

  status(): ConsensusStatus {
    return this.#log.status();
  }

  /** Replaces the seeds after the settings have changed. */
  replaceSeeds(seeds: readonly FoundingMember[]): void {
    this.#peers.replaceSeeds(seeds);
  }

  /** Adds, promotes or removes a control host as a member of the log. */
  changeMembers(change: MemberChange) {
    return this.#log.changeMembers(change);
  }

  /** Replaces a control host that lost its disk. */
  replaceMember(host: HostId) {
    return this.#log.replaceMember(host);
  }

  /** Commits a command on a majority; resolves with the registry's reply. */
  submit(command: RegistryCommand) {
    return this.#log.submit(command);
  }

  /** Resolves once this host has applied a linearizable read index. */
  confirmRead() {
    return this.#log.confirmRead();
  }

  /**
   * Waits until this version is in force at so many entries that an entry
   * without it stops serving once its last confirmation expires. Returns false
   * after `ACCEPTANCE_TIMEOUT_MS`.
   */
  async waitUntilInForce(version: number): Promise<boolean> {
    const { clock, logger } = this.#options;
    const deadline = clock.now() + ACCEPTANCE_TIMEOUT_MS;
    while (!this.#acceptance.isAccepted(version, this.#entryTable)) {
      if (clock.now() >= deadline) {
        const silent = this.#entriesBehind(version);
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

  #entriesBehind(version: number): HostId[] {
    const views = this.#acceptance.unsettledViews(this.#entryTable);
    const { view } = this.#registry.configuration();
    const entries = [view, ...views].flatMap((view) => view.entries);
    const lagging = entries.filter(({ id, incarnation }) => {
      const status = this.#entryTable.get(id);
      if (status === undefined) return true;
      return status.incarnation === incarnation && status.version < version;
    });
    return [...new Set(lagging.map(({ id }) => id))];
  }

  #tick(): void {
    const { clock } = this.#options;
    this.#tasks.run("heartbeat_relay", () => this.#publisher.relayHeartbeats());
    this.#tasks.run("silent_entries", () =>
      this.#entryTable.removeSilent(ENTRY_RETENTION_MS, clock.now()),
    );
    this.#tasks.run("leader_commands", () => this.#submitLeaderCommands());
  }

  #tickMembership(): void {
    if (!this.#membershipManager) return;
    this.#peers.applyMembership(this.#log.status().membership);
    this.#membershipManager.tick();
  }

  /** The command that updates the list of control hosts, if members changed. */
  #dueControlListCommands(
    { membership }: ConsensusStatus,
    { controls }: Configuration,
  ): RegistryCommand[] {
    if (!this.#options.settings.discovery) return [];
    const members = [...membership.voters, ...membership.learners];
    const next = this.#peers.addressesOf(members.map(hostOf));
    if (JSON.stringify(next) === JSON.stringify(controls)) return [];
    const at = Math.floor(this.#options.clock.wallTime());
    return [{ type: "controls_changed", controls: next, at }];
  }

  async #submitLeaderCommands(): Promise<void> {
    if (this.#isSubmitting) return;
    this.#isSubmitting = true;
    try {
      await this.#submitDueCommands();
    } finally {
      this.#isSubmitting = false;
    }
  }

  async #submitDueCommands(): Promise<void> {
    const status = this.#log.status();
    const isLeader = status.role === "leader";
    const configuration = this.#registry.configuration();
    const commands = [
      ...this.#leaderDuties.dueCommands(isLeader, configuration),
      ...(isLeader ? this.#dueControlListCommands(status, configuration) : []),
    ];
    const results = await Promise.all(
      commands.map((command) => this.#log.submit(command)),
    );
    results.forEach((result, index) => {
      if (result.isOk()) return;
      const command = commands[index]?.type;
      this.#options.logger.warn("command of the leader not confirmed", {
        command,
        fault: result.error.type,
      });
    });
  }
}

interface Components {
  readonly network: TcpNetwork<ControlMessages>;
  readonly registry: Registry;
  readonly log: ReplicatedLog<RegistryCommand, RegistryReply>;
  readonly table: EntryTable;
  readonly acceptance: AcceptanceTracker;
  readonly publisher: ConfigurationPublisher;
  readonly connectedSince: ReadonlyMap<HostId, number>;
  readonly registrar: ServerRegistrar;
  readonly peers: ControlPeers;
}
