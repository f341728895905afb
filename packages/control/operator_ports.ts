import { setTimeout as delay } from "node:timers/promises";
import { err, ok, type Result } from "neverthrow";
import {
  type ChangeFault,
  type ConsensusStatus,
  hostOf,
  type MemberKey,
} from "#agreement";
import { CONFIRMED_FOR_MS, type EntryStatus } from "#configuration";
import type { Clock, Entry, HostId } from "#model";
import type {
  CommandLog,
  HostStatus,
  LiveStatus,
  LogFault,
  Member,
  MemberChange,
  MemberChangeFault,
  Members,
} from "#operators";
import type { ControlSettings } from "#settings";
import type { ControlProcess } from "./control_process.ts";

/**
 * Wait before a removal: the time for which the leader counts a silent member
 * as live, plus a margin. If a host that was lost within this time counted as
 * live, a removal could leave a membership that never regains a live majority.
 */
const REMOVAL_DELAY_MS = 1_200;

/**
 * Time after connecting in which a host with an empty data folder has announced
 * itself several times.
 */
const ANNOUNCEMENT_WAIT_MS = 1_500;

/** Implements the operator API's access to the replicated log. */
export function createChangeLog(control: ControlProcess): CommandLog {
  return {
    submit: async (command) =>
      (await control.submit(command)).mapErr(toLogFault),
    confirm: async () => (await control.confirmRead()).mapErr(toLogFault),
  };
}

function toLogFault(fault: ChangeFault): LogFault {
  if (fault.type === "result_unknown") return { type: "result_unknown" };
  if (fault.type === "closed") return { type: "closed" };
  if (fault.type === "not_admitted") return { type: "configuration_too_large" };
  return { type: "no_quorum" };
}

/** Implements the operator API's view of the hosts and backend servers. */
export class HostStatuses implements LiveStatus {
  readonly #control: ControlProcess;
  readonly #settings: ControlSettings;
  readonly #clock: Clock;

  constructor(options: {
    control: ControlProcess;
    settings: ControlSettings;
    clock: Clock;
  }) {
    this.#control = options.control;
    this.#settings = options.settings;
    this.#clock = options.clock;
  }

  async hosts(): Promise<readonly HostStatus[]> {
    return [...this.#controlStatuses(), ...this.#entryStatuses()];
  }

  servers() {
    return this.#control.servers();
  }

  leader(): string | undefined {
    const { leader } = this.#control.status();
    return leader && hostOf(leader);
  }

  #controlStatuses(): HostStatus[] {
    const status = this.#control.status();
    const { voters, learners } = status.membership;
    const configuredPeers = new Map(
      this.#settings.members.map((m) => [m.id, m.peer]),
    );
    return [...voters, ...learners].flatMap((key) => {
      const id = hostOf(key);
      const peer = configuredPeers.get(id) ?? { host: "unlisted", port: 0 };
      const connected =
        id === this.#settings.id ||
        this.#control.connectedForMs(id) !== undefined;
      const state = memberState(status, { member: key, connected });
      return [{ id, role: "control", peer, state }];
    });
  }

  #entryStatuses(): HostStatus[] {
    const { view } = this.#control.registry.configuration();
    const entriesInView = new Map(
      view.entries.map((entry) => [entry.id, entry]),
    );
    const reported = this.#control.entryTable.all();
    const ids = new Set([
      ...entriesInView.keys(),
      ...reported.map(({ id }) => id),
    ]);
    return [...ids].sort().flatMap((id) => {
      const status = this.#control.entryTable.get(id);
      const entry = entriesInView.get(id) ?? status?.entry;
      return entry ? [this.#entryStatus(entry, status)] : [];
    });
  }

  #entryStatus(entry: Entry, status: EntryStatus | undefined): HostStatus {
    const { id, dataCentre, http, peer, incarnation, state } = entry;
    const commonFields = { id, role: "entry", dataCentre, http, peer } as const;
    if (!status) return { ...commonFields, incarnation, state: "lost" };
    const silentMs = this.#clock.now() - status.heartbeatAt;
    const lastHeard = Math.round(this.#clock.wallTime() - silentMs);
    const laggingSince = this.#control.supersededAt(status.version);
    return {
      ...commonFields,
      incarnation: status.incarnation,
      state: silentMs > CONFIRMED_FOR_MS ? "lost" : state,
      version: status.version,
      lastHeard,
      ...(laggingSince !== undefined && { laggingSince }),
    };
  }
}

function memberState(
  status: ConsensusStatus,
  { member, connected }: { member: MemberKey; connected: boolean },
): HostStatus["state"] {
  if (status.membership.learners.includes(member)) return "learner";
  if (status.leader === member) return "leader";
  const peer = status.peers.find((p) => p.member === member);
  // Only the leader gets replies from all members; the others only know which
  // members they are connected to.
  return (peer?.live ?? connected) ? "follower" : "lost";
}

/** Implements the operator API's list of control hosts and its changes. */
export class ControlMembers implements Members {
  readonly #control: ControlProcess;
  readonly #settings: ControlSettings;

  constructor(options: { control: ControlProcess; settings: ControlSettings }) {
    this.#control = options.control;
    this.#settings = options.settings;
  }

  list(): readonly Member[] {
    const { membership, announced } = this.#control.status();
    const configuredPeers = new Map(
      this.#settings.members.map((m) => [m.id, m.peer]),
    );
    const member = (key: MemberKey, role: "voter" | "learner"): Member => {
      const id = hostOf(key);
      const peer = configuredPeers.get(id);
      const isReplaced = announced.some((a) => hostOf(a) === id && a !== key);
      const isKnown =
        announced.includes(key) || this.#isConnectedForLongEnough(id);
      const lost = isReplaced || !isKnown;
      return { id, ...(peer && { peer }), role: lost ? "lost" : role };
    };
    return [
      ...membership.voters.map((key) => member(key, "voter")),
      ...membership.learners.map((key) => member(key, "learner")),
    ];
  }

  /**
   * Whether a host has been connected for long enough to have announced an
   * empty data folder. Before that, a host that restarts after losing its disk
   * cannot be distinguished from the member that it was before.
   */
  #isConnectedForLongEnough(id: HostId): boolean {
    if (id === this.#settings.id) return true;
    return (this.#control.connectedForMs(id) ?? 0) > ANNOUNCEMENT_WAIT_MS;
  }

  async change(
    change: MemberChange,
  ): Promise<Result<unknown, MemberChangeFault>> {
    if (change.type === "add") {
      const replaced = await this.#control.replaceMember(change.id);
      return replaced.mapErr(toMemberFault);
    }
    const { membership } = this.#control.status();
    const member = [...membership.voters, ...membership.learners].find(
      (key) => hostOf(key) === change.id,
    );
    if (!member) return ok(undefined);
    await delay(REMOVAL_DELAY_MS);
    const removed = await this.#control.changeMembers({
      type: "remove",
      member,
    });
    return removed.isOk() ? ok(undefined) : err(toMemberFault(removed.error));
  }
}

function toMemberFault(fault: ChangeFault): MemberChangeFault {
  switch (fault.type) {
    case "no_quorum":
    case "result_unknown":
    case "closed":
      return { type: fault.type };
    default: {
      const { type, ...details } = fault;
      const reason = `${type} ${JSON.stringify(details)}`;
      return { type: "member_change_refused", reason };
    }
  }
}
