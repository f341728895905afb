import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandomness } from "#model";
import { fingerprintOf } from "./fingerprint.ts";
import { Quarantine, type QuarantineEffect } from "./quarantine.ts";
import {
  QUARANTINE_DURATION_MS,
  SUSPICION_DURATION_MS,
} from "./server_losses.ts";

function serverIncarnation(name: string) {
  const incarnation = Number(name.split("#")[1] ?? 1);
  const id = `alloc/${name.split("#")[0]}`;
  return { server: id, incarnation, dataCentre: name[0] ?? "" };
}

/** Entries that exchange evidence without delay, unless disconnected. */
class EntryCluster {
  readonly disconnected = new Set<string>();
  readonly log: string[] = [];
  readonly #entries = new Map(
    ["e", "f", "g"].map((id) => [id, new Quarantine()]),
  );

  constructor() {
    this.connect(0);
  }

  quarantineOf(id: string): Quarantine {
    return this.#entries.get(id) as Quarantine;
  }

  connect(now: number): void {
    this.disconnected.clear();
    for (const [id, quarantine] of this.#entries) {
      for (const peer of this.#entries.keys()) {
        if (peer !== id) this.#execute(id, quarantine.peerUp(peer, now), now);
      }
    }
  }

  /**
   * Runs steps of the form `entry verb fingerprint server now expected`. A
   * call's id consists of its entry and fingerprint. The verb `crash` starts a
   * call whose server is lost 10 ms later.
   */
  run(...steps: string[]): void {
    for (const step of steps) {
      const [id = "", verb, f = "", on = "", at, expected] = step.split(" ");
      const now = Number(at);
      const entry = this.quarantineOf(id);
      const callId = `${id}-${f}`;
      const loseServer = (then: number) =>
        this.#execute(id, entry.serverLost(serverIncarnation(on), then), then);
      const finish = (end: "answered" | "ended", then: number) =>
        this.#execute(id, entry.finished(callId, end, then), then);
      if (verb === "lose") loseServer(now);
      else if (verb === "answer") finish("answered", now);
      else {
        const { type } = entry.admit(f, callId, now);
        if (expected) assert.equal(type, expected, step);
        if (type === "run" || type === "isolate") {
          entry.started(callId, serverIncarnation(on), now);
        }
        if (verb === "crash") loseServer(now + 10);
        if (verb !== "start") finish("ended", now + 10);
      }
    }
  }

  #execute(from: string, effects: QuarantineEffect[], now: number): void {
    for (const effect of effects) {
      if (effect.type === "loss_attributed") {
        this.log.push(`${effect.loss.server} by ${effect.fingerprint}`);
      } else if (effect.type === "resume") {
        this.log.push(`${effect.callId} ${effect.admission.type}`);
      } else if (
        !this.disconnected.has(from) &&
        !this.disconnected.has(effect.to)
      ) {
        const { to, payload } = effect;
        this.#execute(
          to,
          this.quarantineOf(to).receive(from, payload, { now, forward: false }),
          now,
        );
      }
    }
  }
}

const SCENARIOS: [name: string, ...steps: string[]][] = [
  [
    "a second loss quarantines a request, also through other entries",
    "e crash poison a1 0 run",
    "f crash poison b1 20 isolate",
    "g crash poison c1 40 quarantined",
    "g admit other c1 40 run",
  ],
  [
    "a retry at the time of the loss counts as a second run",
    "e crash poison a1 0 run",
    "e crash poison b1 10 isolate",
    "e admit poison c1 20 quarantined",
  ],
  [
    "concurrent runs that end in one outage count once",
    "e start popular a1 0 run",
    "f start popular a2 0 run",
    "e lose - a1 10",
    "f lose - a2 11",
    "g admit popular b1 20 isolate",
  ],
  [
    "the same loss seen by two entries counts once",
    "e crash innocent a1 0 run",
    "f crash innocent a1 20 isolate",
    "g admit innocent b1 40 isolate",
  ],
  [
    "a server lost again in a later incarnation counts again",
    "e crash poison a1#1 0 run",
    "f crash poison a1#2 20 isolate",
    "g admit poison b1 40 quarantined",
  ],
  [
    "a loss that an entry notices late uses the start of the run",
    "f start poison b1 20 run",
    "e lose - b1 25",
    "e crash poison a1 0 run",
    "f lose - b1 60",
    "e admit poison c1 70 quarantined",
  ],
  [
    "an answer clears a request that ran on a lost server",
    "e crash innocent a1 0 run",
    "f start innocent b1 20 isolate",
    "f answer innocent b1 30",
    "e admit innocent a2 40 run",
  ],
  [
    "quarantine expires, and the next loss restores it at once",
    "e crash poison a1 0 run",
    "e crash poison b1 20 isolate",
    `e admit poison c1 ${29 + QUARANTINE_DURATION_MS} quarantined`,
    `e crash poison c1 ${30 + QUARANTINE_DURATION_MS} isolate`,
    `e admit poison d1 ${50 + QUARANTINE_DURATION_MS} quarantined`,
  ],
];

for (const [name, ...steps] of SCENARIOS) {
  test(name, () => new EntryCluster().run(...steps));
}

test("losses caused by a request are reported for outlier ejection", () => {
  const cluster = new EntryCluster();
  cluster.run("e crash poison a1 0", "f crash poison b1 20");
  const told = new Set(cluster.log);
  assert.deepEqual([...told], ["alloc/a1 by poison", "alloc/b1 by poison"]);
});

test("an isolated run avoids the data centre of the loss", () => {
  const cluster = new EntryCluster();
  cluster.run("e crash poison a1 0");
  const admission = cluster.quarantineOf("f").admit("poison", "again", 20);
  assert.deepEqual(admission, { type: "isolate", avoid: ["a"] });
});

test("the outcome of a quarantined request is unknown", () => {
  const cluster = new EntryCluster();
  cluster.run("e crash poison a1 0", "e crash poison b1 20");
  const admission = cluster.quarantineOf("e").admit("poison", "again", 40);
  assert.ok(admission.type === "quarantined", admission.type);
  assert.equal(admission.fault.outcome, "unknown");
});

for (const [end, admission] of [
  ["answer innocent b1 30", "run"],
  ["crash innocent b1 30", "quarantined"],
] as const) {
  test(`calls that wait for an isolated run get ${admission} after it`, () => {
    const cluster = new EntryCluster();
    cluster.run("e crash innocent a1 0", "e start innocent b1 20 isolate");
    assert.equal(
      cluster.quarantineOf("e").admit("innocent", "second", 21).type,
      "wait",
    );
    cluster.run(`e ${end}`);
    assert.deepEqual(cluster.log.at(-1), `second ${admission}`);
  });
}

test("a disconnected entry gets the evidence when it reconnects", () => {
  const cluster = new EntryCluster();
  cluster.disconnected.add("g");
  cluster.run("e crash poison a1 0", "f crash poison b1 20");
  cluster.run("g admit poison c1 30 run");
  cluster.connect(40);
  cluster.run("g admit poison c1 40 quarantined");
});

test("evidence expires", () => {
  const cluster = new EntryCluster();
  cluster.run("e crash poison a1 0");
  cluster.quarantineOf("e").tick(10 + SUSPICION_DURATION_MS);
  const nothing = { losses: 0, runs: 0, requests: 0 };
  assert.deepEqual(cluster.quarantineOf("e").size, nothing);
});

test("evidence stays within its limits", () => {
  const limits = { losses: 10, runsPerLoss: 4, runs: 30 };
  const quarantine = new Quarantine({ limits });
  for (let n = 0; n < 100; n++) {
    for (let run = 0; run < 6; run++) {
      const callId = `${n}/${run}`;
      quarantine.admit(callId, callId, n * 10_000);
      quarantine.started(callId, serverIncarnation(`a${n}`), n * 10_000);
    }
    quarantine.serverLost(serverIncarnation(`a${n}`), n * 10_000 + 1);
  }
  const { losses, runs, requests } = quarantine.size;
  assert.deepEqual([losses, runs, requests], [7, 28, 28]);
});

test("the loss of a data centre quarantines no request, but a crash request is", () => {
  for (let seed = 0; seed < 200; seed++) {
    const random = new SeededRandomness(seed);
    const cluster = new EntryCluster();
    const entry = () => "efg"[random.below(3)] ?? "e";
    const calls = Array.from({ length: 60 }, (_, n) => `call-${n}`);
    // The data centre loses one server after another, and calls are retried
    // within it, as if no other data centre had servers.
    for (let n = 0; n < 8; n++) {
      const id = entry();
      const lost = calls.filter(() => random.below(2) === 0);
      cluster.run(...lost.map((f) => `${id} start ${f} a${n} ${n * 100}`));
      cluster.run(`${id} lose - a${n} ${n * 100 + 1 + random.below(90)}`);
      for (const f of lost)
        cluster.quarantineOf(id).finished(`${id}-${f}`, "ended", n * 100);
    }
    for (const f of calls) {
      const { type } = cluster.quarantineOf(entry()).admit(f, `${f}/x`, 5_000);
      assert.notEqual(type, "quarantined", `seed ${seed}`);
    }
    cluster.run(
      `${entry()} crash poison b1 6000 run`,
      `${entry()} crash poison b2 6020 isolate`,
      `${entry()} admit poison b3 6040 quarantined`,
    );
  }
});

test("similar requests have different fingerprints", () => {
  const base = { service: "alloc", method: "POST", path: "/lookups" };
  const body = (text: string) => new TextEncoder().encode(text);
  const requests = [
    { ...base, body: body("1") },
    { ...base, body: body("2") },
    { ...base, body: body("") },
    { ...base, path: "/lookups?x=1", body: body("1") },
    { ...base, service: "report", body: body("1") },
    { ...base, key: "k", body: body("1") },
  ];
  assert.equal(new Set(requests.map(fingerprintOf)).size, requests.length);
  assert.equal(fingerprintOf({ ...base, body: undefined }), undefined);
  const again = { ...base, body: body("1") };
  assert.equal(fingerprintOf(again), fingerprintOf(requests[0] ?? again));
});

// Guards against entries that never learn of a loss, where only the relays are
// linked to them, and against evidence that is sent around for ever.
test("evidence reaches entries that are linked through others", () => {
  const ids = ["a", "b", "c", "d"];
  const chain = new Map(ids.map((id) => [id, new Quarantine()]));
  ids.forEach((id, index) => {
    for (const peer of [ids[index - 1], ids[index + 1]]) {
      if (peer) chain.get(id)?.peerUp(peer, 0);
    }
  });
  let deliveries = 0;
  const execute = (from: string, effects: QuarantineEffect[]) => {
    for (const effect of effects) {
      if (effect.type !== "send") continue;
      deliveries += 1;
      const options = { now: 100, forward: true };
      const received = chain
        .get(effect.to)
        ?.receive(from, effect.payload, options);
      execute(effect.to, received ?? []);
    }
  };
  const first = chain.get("a");
  first?.admit("poison", "call", 0);
  first?.started("call", serverIncarnation("x#1"), 0);
  execute("a", first?.serverLost(serverIncarnation("x#1"), 100) ?? []);
  for (const id of ids.slice(1)) {
    const admission = chain.get(id)?.admit("poison", `call-${id}`, 200);
    assert.equal(admission?.type, "isolate", id);
  }
  assert.equal(deliveries, 3);
});
