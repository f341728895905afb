import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandomness } from "#model";
import { ConsensusCore } from "./consensus_core.ts";
import type { ClusterBinding } from "./effects.ts";
import type { ConsensusMessage } from "./messages.ts";

const HOSTS = ["a", "b", "c", "d", "e", "f"];
const MEMBERS = HOSTS.map((host) => `${host}/1`);
const MEMBERSHIP = { voters: MEMBERS, learners: [] };
const FOUNDING: ClusterBinding = {
  ...{ cluster: "k", convener: "a/1", attempt: 1, members: MEMBERS },
  formed: true,
};
const STORED = {
  ...{ identity: "1", founding: FOUNDING, term: 1, vote: undefined },
  snapshot: undefined,
  entries: [{ index: 1, term: 1, membership: MEMBERSHIP }],
};
/** Interval of ticks, beyond which a turn of the event loop is a delay. */
const TICK_MS = 100;
const LIMIT_MS = 60_000;

interface Mail {
  readonly from: string;
  readonly message: ConsensusMessage;
}

/** A member whose turns of the event loop take long, with the messages it has to read. */
class SlowMember {
  readonly core: ConsensusCore;
  readonly unread: Mail[] = [];
  nextTurnAt: number;

  constructor(
    readonly host: string,
    options: { randomness: SeededRandomness; startsAt: number },
  ) {
    const { randomness, startsAt } = options;
    this.nextTurnAt = startsAt;
    this.core = new ConsensusCore({
      ...{ host, founders: HOSTS, stored: STORED, randomness, now: 0 },
    });
  }

  get leads(): boolean {
    const { role, commit } = this.core.status(this.nextTurnAt);
    return role === "leader" && commit > 1;
  }

  /** Reads, ticks and sends, which all is done when the turn ends. */
  turn(turnMs: number): { to: string; message: ConsensusMessage }[] {
    const now = this.nextTurnAt;
    for (const { from, message } of this.unread.splice(0))
      this.core.receive(from, message, now);
    this.core.recordDelay(turnMs - TICK_MS, now);
    this.core.tick(now);
    const sent: { to: string; message: ConsensusMessage }[] = [];
    for (
      let effects = this.core.flush(now);
      effects.length > 0;
      effects = this.core.flush(now)
    ) {
      for (const effect of effects) {
        if (effect.type === "send") {
          const { kind, payload, to } = effect;
          sent.push({ to, message: { kind, payload } as ConsensusMessage });
        }
        if (effect.type !== "persist" || effect.write.type !== "entries")
          continue;
        const last = effect.write.entries.at(-1);
        if (last) this.core.handlePersisted(last.index, last.term);
      }
    }
    this.nextTurnAt = now + turnMs;
    return sent;
  }
}

/** Time until one of the hosts leads and has committed an entry. */
function electionMs(
  seed: number,
  options: { hosts: number; fromMs: number; toMs: number },
): number {
  const random = new SeededRandomness(seed);
  const { hosts, fromMs, toMs } = options;
  const members = HOSTS.slice(0, hosts).map(
    (host) =>
      new SlowMember(host, {
        randomness: new SeededRandomness(random.below(2 ** 30)),
        startsAt: random.next() * 300,
      }),
  );
  const mail: { at: number; to: string; mail: Mail }[] = [];
  for (;;) {
    const next = members.reduce((a, b) =>
      b.nextTurnAt < a.nextTurnAt ? b : a,
    );
    const now = next.nextTurnAt;
    if (now > LIMIT_MS) return LIMIT_MS;
    for (const [index, { at, to, mail: arrived }] of [...mail.entries()]
      .reverse()
      .values()) {
      if (at > now || to !== next.host) continue;
      mail.splice(index, 1);
      next.unread.unshift(arrived);
    }
    const turnMs = fromMs + random.next() * (toMs - fromMs);
    const sent = next.turn(turnMs);
    for (const { to, message } of sent) {
      mail.push({
        at: now + turnMs / 2,
        to,
        mail: { from: next.host, message },
      });
    }
    if (next.leads) return now;
  }
}

/** Time in which service has to be back after a loss of all hosts: the users' bound. */
const RECOVERY_MS = 15_000;

for (const { hosts, fromMs, toMs } of [
  { hosts: 6, fromMs: 200, toMs: 800 },
  { hosts: 4, fromMs: 100, toMs: 500 },
  { hosts: 4, fromMs: 200, toMs: 800 },
]) {
  // Guards against hosts without a leader after a loss of power, where each turn of their
  // processes takes long, and all of those with a disk have to agree.
  test(`${hosts} of 6 hosts with turns of ${fromMs} to ${toMs} ms elect a leader`, () => {
    for (let seed = 0; seed < 50; seed++) {
      const ms = electionMs(seed, { hosts, fromMs, toMs });
      assert.ok(ms < RECOVERY_MS, `seed ${seed}: ${Math.round(ms)} ms`);
    }
  });
}
