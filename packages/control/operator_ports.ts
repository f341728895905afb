import { setTimeout as delay } from "node:timers/promises";
import { err, ok, type Result } from "neverthrow";
import {
  type AgreementStatus,
  type ChangeFault,
  hostOf,
  type MemberKey,
} from "#agreement";
import { CONFIRMED_FOR_MS, type EntryStatus } from "#configuration";
import type { Clock, Entry, HostId } from "#model";
import type {
  ChangeLog,
  HostStatus,
  LiveStatus,
  LogFault,
  Member,
  MemberChange,
  MemberFault,
  Members,
} from "#operators";
import type { ControlSettings } from "#settings";
import type { ControlProcess } from "./control_process.ts";

/**
 * Age up to which the leader takes a member for live, and a margin. A host that
 * was lost less than this before a removal would count as live: the removal
 * would be made, and leave a membership without a live majority for good.
 */
const LIVENESS_WINDOW_MS = 1_200;

/** An empty folder announces itself a few times within this time. */
const ANNOUNCED_WITHIN_MS = 1_500;

/** The replicated log as the operators' interface sees it. */
export function changeLog(control: ControlProcess): ChangeLog {
  return {
    submit: async (command) =>
      (await control.submit(command)).mapErr(toLogFault),
    confirm: async () => (await control.confirm()).mapErr(toLogFault),
  };
}

function toLogFault(fault: ChangeFault): LogFault {
  if (fault.type === "result_unknown") return { type: "result_unknown" };
  if (fault.type === "closed") return { type: "closed" };
  return { type: "no_quorum" };
}

/** What this control host knows of the other processes. */
export class LiveHosts implements LiveStatus {
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
    return [...this.#controls(), ...this.#entries()];
  }

  servers() {
    return this.#control.servers();
  }

  leader(): string | undefined {
    const { leader } = this.#control.status();
    return leader && hostOf(leader);
  }

  #controls(): HostStatus[] {
    const status = this.#control.status();
    const { voters, learners } = status.membership;
    const listed = new Map(this.#settings.members.map((m) => [m.id, m.peer]));
    return [...voters, ...learners].flatMap((key) => {
      const id = hostOf(key);
      const peer = listed.get(id) ?? { host: "unlisted", port: 0 };
      const connected =
        id === this.#settings.id ||
        this.#control.connectedForMs(id) !== undefined;
      const state = memberState(status, { member: key, connected });
      return [{ id, role: "control", peer, state }];
    });
  }

  #entries(): HostStatus[] {
    const { view } = this.#control.registry.configuration();
    const known = new Map(view.entries.map((entry) => [entry.id, entry]));
    const reported = this.#control.table.all();
    const ids = new Set([...known.keys(), ...reported.map(({ id }) => id)]);
    return [...ids].sort().flatMap((id) => {
      const status = this.#control.table.get(id);
      const entry = known.get(id) ?? status?.entry;
      return entry ? [this.#entry(entry, status)] : [];
    });
  }

  #entry(entry: Entry, status: EntryStatus | undefined): HostStatus {
    const { id, dataCentre, http, peer, incarnation, state } = entry;
    const facts = { id, role: "entry", dataCentre, http, peer } as const;
    if (!status) return { ...facts, incarnation, state: "lost" };
    const silence = this.#clock.now() - status.heartbeatAt;
    const lastHeard = Math.round(this.#clock.wallTime() - silence);
    const laggingSince = this.#control.supersededAt(status.version);
    return {
      ...facts,
      incarnation: status.incarnation,
      state: silence > CONFIRMED_FOR_MS ? "lost" : state,
      version: status.version,
      lastHeard,
      ...(laggingSince !== undefined && { laggingSince }),
    };
  }
}

function memberState(
  status: AgreementStatus,
  { member, connected }: { member: MemberKey; connected: boolean },
): HostStatus["state"] {
  if (status.membership.learners.includes(member)) return "learner";
  if (status.leader === member) return "leader";
  const peer = status.peers.find((p) => p.member === member);
  // Only the leader hears from all members; others know their connections.
  return (peer?.live ?? connected) ? "follower" : "lost";
}

/** The control hosts as the operators' interface changes them. */
export class ControlMembers implements Members {
  readonly #control: ControlProcess;
  readonly #settings: ControlSettings;

  constructor(options: { control: ControlProcess; settings: ControlSettings }) {
    this.#control = options.control;
    this.#settings = options.settings;
  }

  list(): readonly Member[] {
    const { membership, announced } = this.#control.status();
    const listed = new Map(this.#settings.members.map((m) => [m.id, m.peer]));
    const member = (key: MemberKey, role: "voter" | "learner"): Member => {
      const id = hostOf(key);
      const peer = listed.get(id);
      const isReplaced = announced.some((a) => hostOf(a) === id && a !== key);
      const isKnown = announced.includes(key) || this.#isSettled(id);
      const lost = isReplaced || !isKnown;
      return { id, ...(peer && { peer }), role: lost ? "lost" : role };
    };
    return [
      ...membership.voters.map((key) => member(key, "voter")),
      ...membership.learners.map((key) => member(key, "learner")),
    ];
  }

  /**
   * Whether a host has been connected long enough to announce an empty folder.
   * Otherwise a host that was just restarted after the loss of its disk would
   * look like the member that it was.
   */
  #isSettled(id: HostId): boolean {
    if (id === this.#settings.id) return true;
    return (this.#control.connectedForMs(id) ?? 0) > ANNOUNCED_WITHIN_MS;
  }

  async change(change: MemberChange): Promise<Result<unknown, MemberFault>> {
    if (change.type === "add") {
      const replaced = await this.#control.replaceMember(change.id);
      return replaced.mapErr(toMemberFault);
    }
    const { membership } = this.#control.status();
    const member = [...membership.voters, ...membership.learners].find(
      (key) => hostOf(key) === change.id,
    );
    if (!member) return ok(undefined);
    await delay(LIVENESS_WINDOW_MS);
    const removed = await this.#control.changeMembers({
      type: "remove",
      member,
    });
    return removed.isOk() ? ok(undefined) : err(toMemberFault(removed.error));
  }
}

function toMemberFault(fault: ChangeFault): MemberFault {
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
