import { setTimeout as delay } from "node:timers/promises";
import { err, ok, type Result } from "neverthrow";
import {
  type ChangeFault,
  CONSENSUS_MESSAGE_KINDS,
  ConsensusCore,
  type ConsensusLimits,
  type ConsensusMessage,
  type ConsensusNetwork,
  type ConsensusStatus,
  type ConsensusStorage,
  type Effect,
  hostOf,
  type LogEntry,
  type Logger,
  type MemberChange,
  type MemberKey,
  type ReadFault,
  type ReplicatedLog,
  type StateMachine,
  type StopFault,
  type StorageFault,
  type SubmitFault,
} from "#agreement";
import type { Clock, HostId, Randomness } from "#model";
import { decodeCbor, encodeCbor } from "./codec.ts";

/** A tenth of an election timeout; ticks are most of an idle member's work. */
const TICK_MS = 100;
const MEMBER_CHANGE_RETRY_MS = 100;
/** With more requests, the last ones would time out waiting for the disk. */
const MAX_PENDING_REQUESTS = 2_000;
/** Time limit of `replaceMember`, which waits for a learner to catch up. */
const REPLACE_MEMBER_TIMEOUT_MS = 120_000;

export interface ReplicatedLogOptions<Command, Reply> {
  readonly self: HostId;
  /** The initial members, which form the cluster at its first start. */
  readonly founders: readonly HostId[];
  /** Further control hosts that a member with an empty data folder queries. */
  readonly peers?: readonly HostId[];
  /** The seeds of a system whose hosts are told its first start. */
  readonly seeds?: readonly HostId[];
  readonly network: ConsensusNetwork;
  readonly storage: ConsensusStorage;
  readonly machine: StateMachine<Command, Reply>;
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly logger: Logger;
  readonly limits?: Partial<ConsensusLimits>;
}

/** Loads the stored state and starts a member of the replicated log. */
export async function openReplicatedLog<Command, Reply>(
  options: ReplicatedLogOptions<Command, Reply>,
): Promise<Result<ReplicatedLog<Command, Reply>, StorageFault>> {
  const stored = await options.storage.load();
  return stored.map((state) => {
    const commands = new LoggedCommands(options.machine);
    const core = new ConsensusCore({
      host: options.self,
      founders: options.founders,
      peers: options.peers,
      seeds: options.seeds,
      stored: state,
      randomness: options.randomness,
      limits: options.limits,
      admits: (command, entriesAfter) => commands.admits(command, entriesAfter),
      now: options.clock.now(),
    });
    return new LogMember(core, commands, options);
  });
}

/**
 * The commands of the log for the state machine. Those that the leader has decoded to
 * check what follows them are kept until they are applied.
 */
class LoggedCommands<Command, Reply> {
  readonly #machine: StateMachine<Command, Reply>;
  readonly #decoded = new WeakMap<Uint8Array, { readonly command: Command }>();
  #appliedIndex = 0;

  constructor(machine: StateMachine<Command, Reply>) {
    this.#machine = machine;
  }

  admits(
    bytes: Uint8Array,
    entriesAfter: (index: number) => readonly LogEntry[],
  ): boolean {
    if (!this.#machine.admits) return true;
    const command = this.#decodeFromPeer(bytes);
    if (command === undefined) return false;
    return this.#machine.admits(command, () =>
      entriesAfter(this.#appliedIndex).flatMap(({ command }) =>
        command ? this.#decode(command) : [],
      ),
    );
  }

  apply(index: number, bytes: Uint8Array): Reply {
    const command = this.#decode(bytes);
    this.#decoded.delete(bytes);
    return this.#machine.apply(index, command);
  }

  /** Notes that the state includes the entries up to an index. */
  noteApplied(index: number): void {
    this.#appliedIndex = index;
  }

  /** Undefined if a peer has sent bytes that no replica could apply. */
  #decodeFromPeer(bytes: Uint8Array): Command | undefined {
    try {
      return this.#decode(bytes);
    } catch {
      return undefined;
    }
  }

  #decode(bytes: Uint8Array): Command {
    const known = this.#decoded.get(bytes);
    if (known) return known.command;
    const command = decodeCbor(bytes) as Command;
    this.#decoded.set(bytes, { command });
    return command;
  }
}

/** A request of a caller that the core has not settled yet. */
interface PendingRequest {
  readonly settle: (outcome: Result<unknown, ChangeFault>) => void;
  /** The result if this member stops before the request is settled. */
  readonly faultIfStopped: ChangeFault;
}

/**
 * Drives the consensus core: passes in requests, messages and ticks, and
 * executes its effects, one batch at a time and after syncing the writes of the
 * batch.
 */
class LogMember<Command, Reply> implements ReplicatedLog<Command, Reply> {
  readonly stopped: Promise<StopFault | undefined>;
  readonly #core: ConsensusCore;
  readonly #commands: LoggedCommands<Command, Reply>;
  readonly #options: ReplicatedLogOptions<Command, Reply>;
  readonly #pending = new Map<string, PendingRequest>();
  readonly #idPrefix: string;
  #tickedAt: number;
  readonly #timer: NodeJS.Timeout;
  #sequence = 0;
  #isScheduled = false;
  #isProcessing = false;
  #isStopped = false;
  #resolveStopped: (fault: StopFault | undefined) => void = () => undefined;

  constructor(
    core: ConsensusCore,
    commands: LoggedCommands<Command, Reply>,
    options: ReplicatedLogOptions<Command, Reply>,
  ) {
    this.#core = core;
    this.#commands = commands;
    this.#options = options;
    const { randomness, network } = options;
    const part = () => randomness.below(2 ** 32).toString(36);
    this.#idPrefix = `${part()}${part()}`;
    this.stopped = new Promise((resolve) => {
      this.#resolveStopped = resolve;
    });
    for (const kind of CONSENSUS_MESSAGE_KINDS) {
      network.handle(kind, (payload, from) => {
        this.#receive(from.id, { kind, payload } as ConsensusMessage);
      });
    }
    this.#tickedAt = this.#now();
    // Node runs due timers before it reads from sockets: after a stall of this
    // process, a leader's message may have arrived that has not been read.
    this.#timer = setInterval(() => setImmediate(() => this.#tick()), TICK_MS);
    this.#tick();
  }

  submit(command: Command): Promise<Result<Reply, SubmitFault>> {
    return this.#request((id) => {
      this.#core.propose(id, encodeCbor(command), this.#now());
    }) as Promise<Result<Reply, SubmitFault>>;
  }

  confirmRead(): Promise<Result<number, ReadFault>> {
    return this.#request((id) => this.#core.read(id, this.#now()), {
      type: "closed",
    }) as Promise<Result<number, ReadFault>>;
  }

  changeMembers(change: MemberChange): Promise<Result<number, ChangeFault>> {
    return this.#request((id) => {
      this.#core.changeMembers(id, change, this.#now());
    }) as Promise<Result<number, ChangeFault>>;
  }

  async replaceMember(host: HostId): Promise<Result<number, ChangeFault>> {
    const deadline = this.#now() + REPLACE_MEMBER_TIMEOUT_MS;
    for (;;) {
      const step = await this.#makeReplacementStep(host);
      if (step.isErr()) {
        const isFinal = !isRetryable(step.error) || this.#now() > deadline;
        if (isFinal) return err(step.error);
        await delay(MEMBER_CHANGE_RETRY_MS);
      } else if (step.value !== undefined) return ok(step.value);
    }
  }

  status(): ConsensusStatus {
    return this.#core.status(this.#now());
  }

  handleDisconnect(host: HostId): void {
    if (this.#isStopped) return;
    this.#core.handleDisconnect(host, this.#now());
  }

  async close(): Promise<void> {
    this.#stop(undefined);
    await this.#options.storage.close();
  }

  /**
   * Makes the next change that replaces a host's former identity; returns the index of
   * its promotion once that is done. Each step begins with the identity that the host
   * announced last, as its disk may have been lost again since the step before.
   */
  async #makeReplacementStep(
    host: HostId,
  ): Promise<Result<number | undefined, ChangeFault>> {
    const added = await this.changeMembers({ type: "add", host });
    if (added.isErr() && added.error.type !== "already_member") return added;
    const { learners } = this.status().membership;
    const own = learners.filter((member) => hostOf(member) === host);
    const member = own.at(-1);
    if (member === undefined) return err({ type: "host_not_announced", host });
    const [stale] = own;
    if (stale !== undefined && stale !== member) return this.#remove(stale);
    const promoted = await this.changeMembers({ type: "promote", member });
    if (promoted.isOk() || promoted.error.type !== "former_identity_votes")
      return promoted;
    return this.#remove(promoted.error.member);
  }

  /** Removes a member, which another change may have removed meanwhile. */
  async #remove(member: MemberKey): Promise<Result<undefined, ChangeFault>> {
    const removed = await this.changeMembers({ type: "remove", member });
    if (removed.isErr() && removed.error.type !== "unknown_member")
      return err(removed.error);
    return ok(undefined);
  }

  #now(): number {
    return this.#options.clock.now();
  }

  #request(
    start: (id: string) => void,
    // Other members may already have stored a pending command.
    faultIfStopped: ChangeFault = { type: "result_unknown" },
  ): Promise<Result<unknown, ChangeFault>> {
    if (this.#isStopped) return Promise.resolve(err({ type: "closed" }));
    if (this.#pending.size >= MAX_PENDING_REQUESTS) {
      return Promise.resolve(err({ type: "no_quorum" }));
    }
    return new Promise((resolve) => {
      const id = `${this.#idPrefix}.${++this.#sequence}`;
      this.#pending.set(id, {
        settle: resolve,
        faultIfStopped,
      });
      start(id);
      this.#scheduleProcessing();
    });
  }

  #receive(from: HostId, message: ConsensusMessage): void {
    if (this.#isStopped) return;
    this.#core.receive(from, message, this.#now());
    this.#scheduleProcessing();
  }

  #tick(): void {
    if (this.#isStopped) return;
    const now = this.#now();
    this.#core.recordDelay(now - this.#tickedAt - TICK_MS, now);
    this.#tickedAt = now;
    this.#core.tick(now);
    this.#scheduleProcessing();
  }

  /**
   * Defers the effects, so that inputs of one event loop turn share a batch.
   */
  #scheduleProcessing(): void {
    if (this.#isScheduled || this.#isProcessing) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      void this.#processEffects();
    });
  }

  async #processEffects(): Promise<void> {
    if (this.#isProcessing) return;
    this.#isProcessing = true;
    try {
      while (!this.#isStopped) {
        const startedAt = this.#now();
        const effects = this.#core.flush(startedAt);
        if (effects.length === 0) break;
        await this.#executeEffects(effects);
        const now = this.#now();
        this.#core.recordDelay(now - startedAt, now);
      }
    } catch (cause) {
      const detail = String(cause instanceof Error ? cause.stack : cause);
      this.#stop({ type: "machine_failed", detail });
    } finally {
      this.#isProcessing = false;
    }
  }

  async #executeEffects(effects: readonly Effect[]): Promise<void> {
    const writes = effects.flatMap((e) =>
      e.type === "persist" ? e.write : [],
    );
    if (writes.length > 0) {
      const written = await this.#options.storage.write(writes);
      if (this.#isStopped) return;
      if (written.isErr()) {
        this.#stop(written.error);
        return;
      }
    }
    for (const effect of effects) this.#executeEffect(effect);
    const last = writes.findLast((write) => write.type === "entries");
    const entry = last?.type === "entries" ? last.entries.at(-1) : undefined;
    if (entry) this.#core.handlePersisted(entry.index, entry.term);
  }

  #executeEffect(effect: Effect): void {
    const { machine, network, logger } = this.#options;
    switch (effect.type) {
      case "persist":
        return;
      case "send":
        if (network.send(effect.to, effect.kind, effect.payload as never))
          return;
        this.#core.handleSendFailure(effect, this.#now());
        return;
      case "restore":
        machine.restore(effect.snapshot.bytes);
        this.#commands.noteApplied(effect.snapshot.index);
        return;
      case "apply":
        for (const entry of effect.entries) this.#apply(entry);
        return;
      case "snapshot":
        this.#core.handleSnapshot(effect, machine.snapshot());
        return;
      case "read":
        this.#settle(effect.id, ok(effect.index));
        return;
      case "failed":
        this.#settle(effect.id, err(effect.fault));
        return;
      case "notice":
        logger.info("control log", effect.notice);
        return;
    }
  }

  #apply({ index, id, command, membership }: LogEntry): void {
    if (command) {
      const reply = this.#commands.apply(index, command);
      this.#commands.noteApplied(index);
      if (id !== undefined) this.#settle(id, ok(reply));
      return;
    }
    this.#commands.noteApplied(index);
    if (membership && id !== undefined) this.#settle(id, ok(index));
  }

  #settle(id: string, outcome: Result<unknown, ChangeFault>): void {
    const pending = this.#pending.get(id);
    if (!pending) return;
    this.#pending.delete(id);
    pending.settle(outcome);
  }

  #stop(fault: StopFault | undefined): void {
    if (this.#isStopped) return;
    this.#isStopped = true;
    clearInterval(this.#timer);
    if (fault) this.#options.logger.error("control log stopped", fault);
    for (const { settle, faultIfStopped } of this.#pending.values()) {
      settle(err(faultIfStopped));
    }
    this.#pending.clear();
    this.#resolveStopped(fault);
  }
}

/**
 * Whether a retry may succeed: an election, transfer or other change is
 * running.
 */
function isRetryable({ type }: ChangeFault): boolean {
  return (
    type === "not_caught_up" ||
    type === "change_in_progress" ||
    type === "leader_not_ready" ||
    type === "no_quorum"
  );
}
