import type { HostId } from "#model";
import type { MemberState } from "./member_state.ts";
import { hostOf, type MemberKey } from "./members.ts";
import type { Found, FoundReply, Inquiry, InquiryReply } from "./messages.ts";

const ASK_EVERY_MS = 500;
/** Answers older than this are asked for again before a founding. */
const ANSWER_VALID_MS = 2_000;

interface Answer {
  readonly member: MemberKey;
  readonly at: number;
}

/**
 * Forms a new cluster, and tells its founders from hosts that lost their disk.
 *
 * A member votes only once its folder is bound to a cluster. A folder is bound
 * either by a leader that sends it the log (it was added as a learner), or at
 * the founding: the founder with the lowest host id (the convener) asks all
 * other founders; only if each of them answers that its folder is empty, it
 * binds itself and then all of them to a new cluster id, by identity. Only when
 * all are bound is the cluster formed and may the first election begin. So a
 * host that lost its disk can never found: somebody's folder is not empty, or
 * somebody does not answer. If a founder loses its disk during the founding,
 * the convener, which alone decides that the cluster is formed, starts a new
 * attempt. If the convener itself does, the remaining folders stay bound and an
 * operator must empty them; nothing was acknowledged before that.
 */
export class Founders {
  readonly #state: MemberState;
  readonly #hosts: readonly HostId[];
  readonly #asked: readonly HostId[];
  readonly #empty = new Map<HostId, Answer>();
  readonly #bound = new Set<MemberKey>();
  /** Members whose refusal was reported. */
  readonly #refusedBy = new Set<MemberKey>();
  /** Identities that announced themselves and are no members, with the time. */
  readonly #announced = new Map<HostId, { identity: string; at: number }>();
  #clusterExistsAt: HostId | undefined;
  #nextAsk = Number.NEGATIVE_INFINITY;

  constructor(
    state: MemberState,
    options: { hosts: readonly HostId[]; peers: readonly HostId[] },
  ) {
    this.#state = state;
    this.#hosts = [...new Set(options.hosts)].sort();
    const asked = new Set([...options.hosts, ...options.peers]);
    asked.delete(state.host);
    this.#asked = [...asked];
  }

  /** Identity by host of the folders that can be added. */
  announced(now: number): Map<HostId, string> {
    const result = new Map<HostId, string>();
    for (const [host, { identity, at }] of this.#announced) {
      if (now - at < ANSWER_VALID_MS) result.set(host, identity);
    }
    return result;
  }

  tick(now: number): void {
    if (this.#state.phase === "formed" || now < this.#nextAsk) return;
    this.#nextAsk = now + ASK_EVERY_MS;
    const { founding, self } = this.#state;
    if (founding) {
      this.#requestBindings(false);
      // The convener may have taken a late message of a former identity of
      // this host for the present one.
      const convener = hostOf(founding.convener);
      if (founding.convener === self) return;
      this.#state.sendTo(convener, "agreement.inquiry", { from: self });
      return;
    }
    for (const to of this.#asked) {
      this.#state.sendTo(to, "agreement.inquiry", { from: self });
    }
    this.#conveneIfAllEmpty(now);
  }

  /** Notes a folder that can be added. */
  announce(member: MemberKey, now: number): void {
    const host = hostOf(member);
    const identity = member.slice(host.length + 1);
    this.#announced.set(host, { identity, at: now });
  }

  /**
   * A voter that was removed while it was silent does not learn of that, as
   * no leader sends it the log any more; it asks for votes when it is back.
   * With its log and its vote it can be added again as what it was.
   */
  heardVoter(member: MemberKey, now: number): void {
    const { voters, learners } = this.#state.log.membership;
    if (voters.includes(member) || learners.includes(member)) return;
    this.#announceToLeader(member, now);
  }

  inquiry({ from }: Inquiry, now: number): void {
    this.#announceToLeader(from, now);
    this.#state.sendTo(hostOf(from), "agreement.inquiry_reply", {
      from: this.#state.self,
      to: from,
      phase: this.#state.phase,
    });
    this.#restartIfLost(from);
  }

  inquiryReply(reply: InquiryReply, now: number): void {
    const host = hostOf(reply.from);
    if (this.#state.phase !== "empty") return;
    if (reply.phase === "empty") {
      this.#empty.set(host, { member: reply.from, at: now });
      this.#conveneIfAllEmpty(now);
      return;
    }
    this.#empty.delete(host);
    if (reply.phase !== "formed" || this.#clusterExistsAt) return;
    this.#clusterExistsAt = host;
    this.#state.notice({ type: "cluster_exists", host });
  }

  found(request: Found): void {
    const state = this.#state;
    const bound = this.#bind(request);
    const { from, cluster } = request;
    state.sendTo(hostOf(from), "agreement.found_reply", {
      from: state.self,
      to: from,
      cluster,
      bound,
    });
  }

  foundReply(reply: FoundReply): void {
    const { founding, phase } = this.#state;
    if (phase !== "founding" || !founding) return;
    if (reply.cluster !== founding.cluster) return;
    if (!reply.bound) {
      const member = reply.from;
      if (this.#refusedBy.has(member)) return;
      this.#refusedBy.add(member);
      this.#state.notice({ type: "founding_refused", member });
      return;
    }
    this.#bound.add(reply.from);
    this.#formIfAllBound();
  }

  /** A message of the bound cluster proves that it is formed. */
  confirmFormed(): void {
    const { founding } = this.#state;
    if (!founding || founding.formed) return;
    this.#state.persistFounding({ ...founding, formed: true });
  }

  /** Binds an empty folder to the cluster whose leader sends to it. */
  join(cluster: string, leader: MemberKey): void {
    this.#state.persistFounding({
      cluster,
      convener: leader,
      attempt: 0,
      members: [],
      formed: true,
    });
  }

  /** The folder may know other members than the leader, which alone adds it. */
  #announceToLeader(member: MemberKey, now: number): void {
    this.announce(member, now);
    const { leader, self, phase } = this.#state;
    if (phase !== "formed" || leader === undefined || leader === self) return;
    this.#state.send(leader, "agreement.announced", { member });
  }

  #others(): HostId[] {
    return this.#hosts.filter((host) => host !== this.#state.host);
  }

  get #isConvener(): boolean {
    return this.#hosts[0] === this.#state.host;
  }

  #conveneIfAllEmpty(now: number): void {
    if (!this.#isConvener || this.#clusterExistsAt) return;
    const members: MemberKey[] = [this.#state.self];
    for (const host of this.#others()) {
      const answer = this.#empty.get(host);
      if (!answer || now - answer.at >= ANSWER_VALID_MS) return;
      members.push(answer.member);
    }
    this.#startAttempt(members);
  }

  #startAttempt(members: readonly MemberKey[]): void {
    const state = this.#state;
    const attempt = (state.founding?.attempt ?? 0) + 1;
    const cluster = `${state.self}#${attempt}`;
    const convener = state.self;
    this.#bound.clear();
    state.persistFounding({
      cluster,
      convener,
      attempt,
      members,
      formed: false,
    });
    state.log.reset({
      index: 0,
      term: 0,
      membership: { voters: members, learners: [] },
    });
    this.#requestBindings(false);
    this.#formIfAllBound();
  }

  #requestBindings(formed: boolean): void {
    const { founding, self } = this.#state;
    if (!founding || founding.convener !== self) return;
    const { cluster, attempt, members } = founding;
    for (const to of members) {
      if (to === self) continue;
      const request = { from: self, to, cluster, attempt, members, formed };
      this.#state.sendTo(hostOf(to), "agreement.found", request);
    }
  }

  #formIfAllBound(): void {
    const { founding, self } = this.#state;
    if (!founding || founding.convener !== self) return;
    const isBound = (m: MemberKey) => m === self || this.#bound.has(m);
    if (!founding.members.every(isBound)) return;
    this.confirmFormed();
    this.#requestBindings(true);
  }

  #bind(request: Found): boolean {
    const state = this.#state;
    const { cluster, attempt, members, formed } = request;
    const { founding } = state;
    if (founding?.cluster === cluster) {
      if (formed) this.confirmFormed();
      return true;
    }
    if (formed || !this.#matchesSettings(members)) return false;
    if (!members.includes(state.self)) return false;
    const isNextAttempt =
      founding?.formed === false &&
      founding.convener === request.from &&
      founding.attempt < attempt;
    if (founding && !isNextAttempt) return false;
    const convener = request.from;
    state.persistFounding({
      cluster,
      convener,
      attempt,
      members,
      formed: false,
    });
    state.log.reset({
      index: 0,
      term: 0,
      membership: { voters: members, learners: [] },
    });
    return true;
  }

  #matchesSettings(members: readonly MemberKey[]): boolean {
    const hosts = members.map(hostOf).sort();
    return hosts.join("\n") === this.#hosts.join("\n");
  }

  /** A founder came back with an empty folder before the cluster was formed. */
  #restartIfLost(member: MemberKey): void {
    const { founding, phase, self } = this.#state;
    if (phase !== "founding" || founding?.convener !== self) return;
    if (founding.members.includes(member)) return;
    const host = hostOf(member);
    if (!founding.members.some((m) => hostOf(m) === host)) return;
    const members = founding.members.map((m) =>
      hostOf(m) === host ? member : m,
    );
    this.#startAttempt(members);
  }
}
