import type { HostId } from "#model";
import { foundingBinding } from "./founders.ts";
import type { MemberState } from "./member_state.ts";
import { hostOf, identityOf, type MemberKey } from "./members.ts";
import type {
  BindReply,
  BindRequest,
  ClusterInquiry,
  ClusterInquiryReply,
} from "./messages.ts";

const INQUIRY_INTERVAL_MS = 500;
/** How long a reply that a data folder is empty, or an announcement, counts. */
const REPLY_VALID_MS = 2_000;

/** The newest reply of a founder whose data folder is empty. */
interface EmptyReply {
  readonly member: MemberKey;
  readonly at: number;
}

/**
 * Bootstraps a new cluster, without mistaking a host that lost its disk for the
 * founder of a new one.
 *
 * A member votes only once its data folder is bound to a cluster. A leader that
 * sends the log to a folder (which was added as a learner) binds it. Where the hosts
 * are told the first start of the system, each seed binds its own folder to the same
 * cluster of all seeds, which a majority of them makes work (`bindFounder`).
 *
 * Elsewhere nobody can tell a new system from one whose disks were lost, and the
 * founders' folders are bound as follows: the founder with the lowest host id, the convener, asks all other founders. Only if each of them
 * replies that its folder is empty, the convener binds its own folder and then
 * theirs, by identity, to a new cluster id. The cluster is formed, and the
 * first election may begin, once all of them are bound.
 *
 * So a host that lost its disk can never form a second cluster: the folder of
 * some founder is not empty, or some founder does not reply. If a founder loses
 * its disk during the bootstrap, the convener, which alone decides that the
 * cluster is formed, starts a new attempt. If the convener itself loses its
 * disk, the other folders stay bound and an operator must empty them; no
 * command was acknowledged before that.
 */
export class ClusterBootstrap {
  readonly #state: MemberState;
  readonly #seeds: readonly HostId[];
  readonly #founderHosts: readonly HostId[];
  readonly #inquiryHosts: readonly HostId[];
  readonly #emptyReplies = new Map<HostId, EmptyReply>();
  readonly #boundMembers = new Set<MemberKey>();
  /** Members whose refusal was reported to the operator. */
  readonly #reportedRefusals = new Set<MemberKey>();
  /** Data folders by host that are not members and announced themselves. */
  readonly #announced = new Map<HostId, { identity: string; at: number }>();
  #clusterExistsAt: HostId | undefined;
  #nextInquiryAt = Number.NEGATIVE_INFINITY;

  constructor(
    state: MemberState,
    options: {
      hosts: readonly HostId[];
      peers: readonly HostId[];
      seeds: readonly HostId[];
    },
  ) {
    this.#state = state;
    this.#seeds = options.seeds;
    this.#founderHosts = [...new Set(options.hosts)].sort();
    const inquiryHosts = new Set([...options.hosts, ...options.peers]);
    inquiryHosts.delete(state.host);
    this.#inquiryHosts = [...inquiryHosts];
  }

  /**
   * Binds the folder that a seed created at the first start of the system, also after
   * a restart by which the binding was not written yet. Such a folder has not voted.
   */
  bindFounder(): void {
    const state = this.#state;
    if (state.founding) return;
    const founding = foundingBinding(this.#seeds);
    if (!founding.members.includes(state.self)) return;
    state.persistFounding(founding);
    state.log.reset({
      index: 0,
      term: 0,
      membership: { voters: founding.members, learners: [] },
    });
  }

  /** Identities, by host, of the data folders that can be added. */
  announced(now: number): Map<HostId, string> {
    const result = new Map<HostId, string>();
    for (const [host, { identity, at }] of this.#announced) {
      if (now - at < REPLY_VALID_MS) result.set(host, identity);
    }
    return result;
  }

  tick(now: number): void {
    if (now < this.#nextInquiryAt) return;
    const { founding, phase, self, isVoter, leader } = this.#state;
    if (phase === "formed" && (isVoter || leader !== undefined)) return;
    this.#nextInquiryAt = now + INQUIRY_INTERVAL_MS;
    if (phase === "formed") {
      this.#announceLearner();
      return;
    }
    if (founding) {
      this.#sendBindRequests(false);
      // The convener may have bound a former identity of this host, because of
      // a delayed message. An inquiry tells it the current one.
      const convener = hostOf(founding.convener);
      if (founding.convener === self) return;
      this.#state.sendToHost(convener, "agreement.inquiry", { from: self });
      return;
    }
    for (const to of this.#inquiryHosts) {
      this.#state.sendToHost(to, "agreement.inquiry", { from: self });
    }
    this.#startIfAllEmpty(now);
  }

  /** Records a data folder that can be added. */
  recordAnnouncement(member: MemberKey, now: number): void {
    const host = hostOf(member);
    const identity = identityOf(member);
    this.#announced.set(host, { identity, at: now });
  }

  /**
   * Announces a member that asks for votes but was removed while it was down.
   * It does not learn of its removal, because no leader sends it the log any
   * more. It still has its log and its vote, so it can be added again under the
   * same identity.
   */
  handleVoteRequest(member: MemberKey, now: number): void {
    const { voters, learners } = this.#state.log.membership;
    if (voters.includes(member) || learners.includes(member)) return;
    this.#announceToLeader(member, now);
  }

  handleInquiry({ from }: ClusterInquiry, now: number): void {
    this.#announceToLeader(from, now);
    this.#state.sendToHost(hostOf(from), "agreement.inquiry_reply", {
      from: this.#state.self,
      to: from,
      phase: this.#state.phase,
    });
    this.#restartIfFounderLost(from);
  }

  handleInquiryReply(reply: ClusterInquiryReply, now: number): void {
    const host = hostOf(reply.from);
    if (this.#state.phase !== "empty") return;
    if (reply.phase === "empty") {
      this.#emptyReplies.set(host, { member: reply.from, at: now });
      this.#startIfAllEmpty(now);
      return;
    }
    this.#emptyReplies.delete(host);
    if (reply.phase !== "formed" || this.#clusterExistsAt) return;
    this.#clusterExistsAt = host;
    this.#state.emitNotice({ type: "cluster_exists", host });
  }

  handleBindRequest(request: BindRequest): void {
    const state = this.#state;
    const bound = this.#bind(request);
    const { from, cluster } = request;
    state.sendToHost(hostOf(from), "agreement.found_reply", {
      from: state.self,
      to: from,
      cluster,
      bound,
    });
  }

  handleBindReply(reply: BindReply): void {
    const { founding, phase } = this.#state;
    if (phase !== "founding" || !founding) return;
    if (reply.cluster !== founding.cluster) return;
    if (!reply.bound) {
      const member = reply.from;
      if (this.#reportedRefusals.has(member)) return;
      this.#reportedRefusals.add(member);
      this.#state.emitNotice({ type: "founding_refused", member });
      return;
    }
    this.#boundMembers.add(reply.from);
    this.#formIfAllBound();
  }

  /** Marks the cluster as formed; called for any message from its members. */
  markFormed(): void {
    const { founding } = this.#state;
    if (!founding || founding.formed) return;
    this.#state.persistFounding({ ...founding, formed: true });
  }

  /** Binds an empty data folder to the cluster whose leader sends to it. */
  joinCluster(cluster: string, leader: MemberKey): void {
    this.#state.persistFounding({
      cluster,
      convener: leader,
      attempt: 0,
      members: [],
      formed: true,
    });
  }

  /**
   * Announces a learner that hears from no leader. The entry with its admission
   * may have been lost with the leader that made it; as no voter, it asks for no
   * votes, by which the others would notice it.
   */
  #announceLearner(): void {
    const { self } = this.#state;
    const members = this.#state.otherMembers().map(hostOf);
    for (const to of new Set([...this.#inquiryHosts, ...members])) {
      this.#state.sendToHost(to, "agreement.inquiry", { from: self });
    }
  }

  /**
   * Passes the announcement on to the leader, which alone can add the folder
   * but may not be among the hosts that the folder knows.
   */
  #announceToLeader(member: MemberKey, now: number): void {
    this.recordAnnouncement(member, now);
    const { leader, self, phase } = this.#state;
    if (phase !== "formed" || leader === undefined || leader === self) return;
    this.#state.send(leader, "agreement.announced", { member });
  }

  #otherFounders(): HostId[] {
    return this.#founderHosts.filter((host) => host !== this.#state.host);
  }

  get #isConvener(): boolean {
    return this.#founderHosts[0] === this.#state.host;
  }

  #startIfAllEmpty(now: number): void {
    if (!this.#isConvener || this.#clusterExistsAt) return;
    const members: MemberKey[] = [this.#state.self];
    for (const host of this.#otherFounders()) {
      const reply = this.#emptyReplies.get(host);
      if (!reply || now - reply.at >= REPLY_VALID_MS) return;
      members.push(reply.member);
    }
    this.#startAttempt(members);
  }

  #startAttempt(members: readonly MemberKey[]): void {
    const state = this.#state;
    const attempt = (state.founding?.attempt ?? 0) + 1;
    const cluster = `${state.self}#${attempt}`;
    const convener = state.self;
    this.#boundMembers.clear();
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
    this.#sendBindRequests(false);
    this.#formIfAllBound();
  }

  #sendBindRequests(formed: boolean): void {
    const { founding, self } = this.#state;
    if (!founding || founding.convener !== self) return;
    const { cluster, attempt, members } = founding;
    for (const to of members) {
      if (to === self) continue;
      const request = { from: self, to, cluster, attempt, members, formed };
      this.#state.sendToHost(hostOf(to), "agreement.found", request);
    }
  }

  #formIfAllBound(): void {
    const { founding, self } = this.#state;
    if (!founding || founding.convener !== self) return;
    const isBound = (m: MemberKey) => m === self || this.#boundMembers.has(m);
    if (!founding.members.every(isBound)) return;
    this.markFormed();
    this.#sendBindRequests(true);
  }

  #bind(request: BindRequest): boolean {
    const state = this.#state;
    const { cluster, attempt, members, formed } = request;
    const { founding } = state;
    if (founding?.cluster === cluster) {
      if (formed) this.markFormed();
      return true;
    }
    if (formed || !this.#areConfiguredFounders(members)) return false;
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

  #areConfiguredFounders(members: readonly MemberKey[]): boolean {
    const hosts = members.map(hostOf).sort();
    return hosts.join("\n") === this.#founderHosts.join("\n");
  }

  /**
   * Starts a new attempt if the member is a founder that lost its data folder
   * before the cluster was formed.
   */
  #restartIfFounderLost(member: MemberKey): void {
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
