import { setTimeout as delay } from "node:timers/promises";
import type {
  ConsensusMessages,
  ConsensusNetwork,
  ReplicatedLog,
} from "#agreement";
import { type SeededRandomness, SystemClock } from "#model";
import { Registry, type RegistryCommand, type RegistryReply } from "#registry";
import { MemoryDisk, MemoryStorage, openReplicatedLog } from "#storage";
import { SilentLogger } from "#telemetry";
import { isAdmitted } from "./command_admission.ts";
import type { ControlProcess } from "./control_process.ts";
import { ControlRequests } from "./control_requests.ts";
import { Evacuations } from "./evacuations.ts";

type Handler = (payload: unknown, from: { id: string }) => void;

/** Builds whose leader decides which commands are logged, and those before them. */
export type Build = "admits" | "logs_all";

/** A control host with the real log, registry and handling of orders. */
export class OrderHost {
  readonly id: string;
  readonly disk: MemoryDisk;
  readonly build: Build;
  readonly handlers = new Map<string, Handler>();
  registry = new Registry();
  log: ReplicatedLog<RegistryCommand, RegistryReply> | undefined;
  requests: ControlRequests | undefined;
  evacuations: Evacuations | undefined;
  /** No message reaches or leaves the host until then; performance time. */
  frozenUntil = 0;

  constructor(id: string, build: Build) {
    this.id = id;
    this.build = build;
    this.disk = new MemoryDisk(`disk-${id}`);
  }
}

/** Control hosts on an in-memory network and in-memory disks. */
export class OrderSite {
  readonly hosts: readonly OrderHost[];
  readonly #random: SeededRandomness;
  readonly #clock = new SystemClock();

  constructor(random: SeededRandomness, builds: readonly Build[]) {
    this.#random = random;
    this.hosts = builds.map((build, i) => new OrderHost(`c${i}`, build));
  }

  pick(): OrderHost {
    return this.hosts[this.#random.below(this.hosts.length)] as OrderHost;
  }

  async start(host: OrderHost): Promise<void> {
    host.handlers.clear();
    const registry = new Registry();
    const opened = await openReplicatedLog<RegistryCommand, RegistryReply>({
      self: host.id,
      founders: this.hosts.map(({ id }) => id),
      network: this.#networkOf(host),
      storage: new MemoryStorage(host.disk),
      clock: this.#clock,
      randomness: this.#random,
      logger: new SilentLogger(),
      limits: { snapshotEveryEntries: 12, keptEntries: 4 },
      machine: {
        apply: (_, command) => registry.apply(command),
        snapshot: () => registry.snapshot(),
        restore: (bytes) => registry.restore(bytes)._unsafeUnwrap(),
        ...(host.build === "admits" && {
          admits: (command, pending) => isAdmitted(registry, command, pending),
        }),
      },
    });
    const log = opened._unsafeUnwrap();
    const control = {
      registry,
      submit: (command: RegistryCommand) => log.submit(command),
      confirmRead: () => log.confirmRead(),
    } as unknown as ControlProcess;
    const options = { control, clock: this.#clock, logger: new SilentLogger() };
    host.registry = registry;
    host.log = log;
    host.requests = new ControlRequests(options);
    host.evacuations = new Evacuations(options);
  }

  /** Ends a host, which loses a part of what it has not synced. */
  async kill(host: OrderHost): Promise<void> {
    const { log } = host;
    host.log = undefined;
    host.requests = undefined;
    host.evacuations = undefined;
    await log?.close();
    host.disk.crash(this.#random.below(host.disk.stagedWrites + 1));
  }

  freeze(host: OrderHost, ms: number): void {
    host.frozenUntil = performance.now() + ms;
  }

  /** Waits until all hosts have applied the same entries. */
  async settle(limitMs: number): Promise<boolean> {
    const until = performance.now() + limitMs;
    while (performance.now() < until) {
      const reads = await Promise.all(
        this.hosts.map(({ log }) => log?.confirmRead()),
      );
      const applied = this.hosts.map(({ log }) => log?.status().applied);
      if (reads.every((read) => read?.isOk()) && new Set(applied).size === 1) {
        return true;
      }
      await delay(50);
    }
    return false;
  }

  async close(): Promise<void> {
    await Promise.all(this.hosts.map((host) => this.kill(host)));
  }

  #networkOf(host: OrderHost): ConsensusNetwork {
    return {
      send: (to, kind, payload) => {
        const target = this.hosts.find(({ id }) => id === to);
        if (!target?.log) return false;
        this.#deliver(host, target, {
          kind,
          payload: structuredClone(payload),
        });
        return true;
      },
      handle: <K extends keyof ConsensusMessages>(
        kind: K,
        handler: (payload: ConsensusMessages[K], from: { id: string }) => void,
      ) => host.handlers.set(kind, handler as Handler),
    };
  }

  #deliver(
    from: OrderHost,
    to: OrderHost,
    message: { readonly kind: string; readonly payload: unknown },
  ): void {
    const now = performance.now();
    const thawsAt = Math.max(from.frozenUntil, to.frozenUntil);
    const waitMs = Math.max(this.#random.below(4), thawsAt - now);
    setTimeout(() => {
      const isFrozen = performance.now() < to.frozenUntil;
      if (isFrozen) this.#deliver(from, to, message);
      else to.handlers.get(message.kind)?.(message.payload, { id: from.id });
    }, waitMs);
  }
}
