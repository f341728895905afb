import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandomness } from "#model";
import { fingerprintOf } from "./fingerprint.ts";
import { QUARANTINED_MS, SUSPECTED_MS } from "./losses.ts";
import { Quarantine, type QuarantineEffect } from "./quarantine.ts";

function server(name: string) {
  const incarnation = Number(name.split("#")[1] ?? 1);
  const id = `alloc/${name.split("#")[0]}`;
  return { server: id, incarnation, dataCentre: name[0] ?? "" };
}

/** Entries that exchange evidence at once, unless they are cut off. */
class Site {
  readonly cut = new Set<string>();
  readonly log: string[] = [];
  readonly #entries = new Map(
    ["e", "f", "g"].map((id) => [id, new Quarantine()]),
  );

  constructor() {
    this.connect(0);
  }

  of(id: string): Quarantine {
    return this.#entries.get(id) as Quarantine;
  }

  connect(now: number): void {
    this.cut.clear();
    for (const [id, quarantine] of this.#entries) {
      for (const peer of this.#entries.keys()) {
        if (peer !== id) this.#carryOut(id, quarantine.peerUp(peer, now), now);
      }
    }
  }

  /**
   * Plays steps of the form `entry verb fingerprint server now expected`. A
   * call's id is its entry and fingerprint; `crash` starts it and loses its
   * server 10 ms later.
   */
  play(...steps: string[]): void {
    for (const step of steps) {
      const [id = "", verb, f = "", on = "", at, expected] = step.split(" ");
      const now = Number(at);
      const entry = this.of(id);
      const callId = `${id}-${f}`;
      const lose = (then: number) =>
        this.#carryOut(id, entry.serverLost(server(on), then), then);
      const finish = (end: "answered" | "ended", then: number) =>
        this.#carryOut(id, entry.finished(callId, end, then), then);
      if (verb === "lose") lose(now);
      else if (verb === "answer") finish("answered", now);
      else {
        const { type } = entry.admit(f, callId, now);
        if (expected) assert.equal(type, expected, step);
        if (type === "run" || type === "isolate") {
          entry.started(callId, server(on), now);
        }
        if (verb === "crash") lose(now + 10);
        if (verb !== "start") finish("ended", now + 10);
      }
    }
  }

  #carryOut(from: string, effects: QuarantineEffect[], now: number): void {
    for (const effect of effects) {
      if (effect.type === "loss_explained") {
        this.log.push(`${effect.loss.server} by ${effect.fingerprint}`);
      } else if (effect.type === "resume") {
        this.log.push(`${effect.callId} ${effect.admission.type}`);
      } else if (!this.cut.has(from) && !this.cut.has(effect.to)) {
        const { to, payload } = effect;
        this.#carryOut(to, this.of(to).receive(from, payload, now), now);
      }
    }
  }
}

const SCHEDULES: [name: string, ...steps: string[]][] = [
  [
    "a second loss over entries and resends quarantines a request",
    "e crash poison a1 0 run",
    "f crash poison b1 20 isolate",
    "g crash poison c1 40 quarantined",
    "g admit other c1 40 run",
  ],
  [
    "a retry in the moment of the loss counts as a second run",
    "e crash poison a1 0 run",
    "e crash poison b1 10 isolate",
    "e admit poison c1 20 quarantined",
  ],
  [
    "runs side by side that one outage ends count once",
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
    "a loss that an entry notices late keeps the run's own start",
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
    "quarantine ends, and the next loss brings it back at once",
    "e crash poison a1 0 run",
    "e crash poison b1 20 isolate",
    `e admit poison c1 ${29 + QUARANTINED_MS} quarantined`,
    `e crash poison c1 ${30 + QUARANTINED_MS} isolate`,
    `e admit poison d1 ${50 + QUARANTINED_MS} quarantined`,
  ],
];

for (const [name, ...steps] of SCHEDULES) {
  test(name, () => new Site().play(...steps));
}

test("ejection is told of the losses that a request explains", () => {
  const site = new Site();
  site.play("e crash poison a1 0", "f crash poison b1 20");
  const told = new Set(site.log);
  assert.deepEqual([...told], ["alloc/a1 by poison", "alloc/b1 by poison"]);
});

test("an isolated run avoids the data centre of the loss", () => {
  const site = new Site();
  site.play("e crash poison a1 0");
  const admission = site.of("f").admit("poison", "again", 20);
  assert.deepEqual(admission, { type: "isolate", avoid: ["a"] });
});

test("a refusal in quarantine does not claim that the request never ran", () => {
  const site = new Site();
  site.play("e crash poison a1 0", "e crash poison b1 20");
  const admission = site.of("e").admit("poison", "again", 40);
  assert.ok(admission.type === "quarantined", admission.type);
  assert.equal(admission.fault.outcome, "unknown");
});

for (const [end, admission] of [
  ["answer innocent b1 30", "run"],
  ["crash innocent b1 30", "quarantined"],
] as const) {
  test(`calls behind an isolated run get ${admission} after it`, () => {
    const site = new Site();
    site.play("e crash innocent a1 0", "e start innocent b1 20 isolate");
    assert.equal(site.of("e").admit("innocent", "second", 21).type, "wait");
    site.play(`e ${end}`);
    assert.deepEqual(site.log.at(-1), `second ${admission}`);
  });
}

test("an entry that was cut off learns the evidence when it is back", () => {
  const site = new Site();
  site.cut.add("g");
  site.play("e crash poison a1 0", "f crash poison b1 20");
  site.play("g admit poison c1 30 run");
  site.connect(40);
  site.play("g admit poison c1 40 quarantined");
});

test("evidence is forgotten in time", () => {
  const site = new Site();
  site.play("e crash poison a1 0");
  site.of("e").tick(10 + SUSPECTED_MS);
  const nothing = { losses: 0, runs: 0, suspects: 0 };
  assert.deepEqual(site.of("e").size, nothing);
});

test("evidence stays within its limits", () => {
  const limits = { losses: 10, runsPerLoss: 4, runs: 30 };
  const quarantine = new Quarantine({ limits });
  for (let n = 0; n < 100; n++) {
    for (let run = 0; run < 6; run++) {
      const callId = `${n}/${run}`;
      quarantine.admit(callId, callId, n * 10_000);
      quarantine.started(callId, server(`a${n}`), n * 10_000);
    }
    quarantine.serverLost(server(`a${n}`), n * 10_000 + 1);
  }
  const { losses, runs, suspects } = quarantine.size;
  assert.deepEqual([losses, runs, suspects], [7, 28, 28]);
});

test("a lost data centre quarantines no request, a crash request is found", () => {
  for (let seed = 0; seed < 200; seed++) {
    const random = new SeededRandomness(seed);
    const site = new Site();
    const entry = () => "efg"[random.below(3)] ?? "e";
    const calls = Array.from({ length: 60 }, (_, n) => `call-${n}`);
    // The data centre is lost server by server; calls are retried within it,
    // as if no other had servers.
    for (let n = 0; n < 8; n++) {
      const id = entry();
      const lost = calls.filter(() => random.below(2) === 0);
      site.play(...lost.map((f) => `${id} start ${f} a${n} ${n * 100}`));
      site.play(`${id} lose - a${n} ${n * 100 + 1 + random.below(90)}`);
      for (const f of lost)
        site.of(id).finished(`${id}-${f}`, "ended", n * 100);
    }
    for (const f of calls) {
      const { type } = site.of(entry()).admit(f, `${f}/x`, 5_000);
      assert.notEqual(type, "quarantined", `seed ${seed}`);
    }
    site.play(
      `${entry()} crash poison b1 6000 run`,
      `${entry()} crash poison b2 6020 isolate`,
      `${entry()} admit poison b3 6040 quarantined`,
    );
  }
});

test("requests that only look alike have different fingerprints", () => {
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
