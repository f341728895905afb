import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandomness } from "#model";
import { fingerprintOf } from "./fingerprint.ts";
import { QUARANTINED_MS, SUSPECTED_MS } from "./losses.ts";
import type { ServerRun } from "./messages.ts";
import { Quarantine, type QuarantineEffect } from "./quarantine.ts";

function server(name: string, incarnation = 1): ServerRun {
  return { server: `alloc/${name}`, incarnation, dataCentre: name[0] ?? "" };
}

/** Entries that exchange evidence at once, unless they are cut off. */
function cluster(...ids: string[]) {
  const all = new Map(ids.map((id) => [id, new Quarantine()]));
  const cut = new Set<string>();
  const log: string[] = [];
  let calls = 0;
  const of = (id: string) => all.get(id) as Quarantine;
  const carryOut = (from: string, effects: QuarantineEffect[], now: number) => {
    for (const effect of effects) {
      if (effect.type === "loss_explained") {
        log.push(`${effect.loss.server} explained by ${effect.fingerprint}`);
      } else if (effect.type === "resume") {
        log.push(`${effect.callId} ${effect.admission.type}`);
      } else if (!cut.has(from) && !cut.has(effect.to)) {
        const { to, payload } = effect;
        carryOut(to, of(to).receive(from, payload, now), now);
      }
    }
  };
  const start = (id: string, f: string, on: ServerRun, now: number) => {
    const callId = `call-${++calls}`;
    const { type } = of(id).admit(f, callId, now);
    if (type === "run" || type === "isolate") of(id).started(callId, on, now);
    return { callId, type };
  };
  const lose = (id: string, lost: ServerRun, now: number) =>
    carryOut(id, of(id).serverLost(lost, now), now);
  const finish = (id: string, callId: string, now: number) =>
    carryOut(id, of(id).finished(callId, "answered", now), now);
  /** Runs a request until its server is lost; gives how it was admitted. */
  const crash = (id: string, f: string, on: ServerRun, now: number) => {
    const { callId, type } = start(id, f, on, now);
    if (type === "quarantined") return type;
    lose(id, on, now + 10);
    of(id).finished(callId, "ended", now + 10);
    return type;
  };
  const connect = (now: number) => {
    cut.clear();
    for (const a of ids) {
      for (const b of ids) if (a !== b) carryOut(a, of(a).peerUp(b, now), now);
    }
  };
  connect(0);
  return { connect, crash, cut, finish, lose, log, of, start };
}

test("a second loss over entries and resends quarantines a request", () => {
  const { crash, log, of } = cluster("e", "f", "g");
  assert.equal(crash("e", "poison", server("a1"), 0), "run");
  assert.equal(crash("f", "poison", server("b1"), 20), "isolate");
  assert.equal(crash("g", "poison", server("c1"), 40), "quarantined");
  assert.equal(of("g").admit("other", "x", 40).type, "run");
  assert.ok(log.includes("alloc/a1 explained by poison"));
  assert.ok(log.includes("alloc/b1 explained by poison"));
});

test("an isolated run avoids the data centre of the loss", () => {
  const { crash, of } = cluster("e");
  crash("e", "poison", server("a1"), 0);
  const admission = of("e").admit("poison", "again", 20);
  assert.deepEqual(admission, { type: "isolate", avoid: ["a"] });
});

test("a refusal in quarantine does not claim that the request never ran", () => {
  const { crash, of } = cluster("e");
  crash("e", "poison", server("a1"), 0);
  crash("e", "poison", server("b1"), 20);
  const admission = of("e").admit("poison", "again", 40);
  assert.ok(admission.type === "quarantined");
  assert.equal(admission.fault.outcome, "unknown");
});

test("a retry in the moment of the loss counts as a second run", () => {
  const { crash } = cluster("e");
  crash("e", "poison", server("a1"), 0);
  crash("e", "poison", server("b1"), 10);
  assert.equal(crash("e", "poison", server("c1"), 20), "quarantined");
});

test("runs side by side that one outage ends count once", () => {
  const { lose, start, of } = cluster("e", "f");
  start("e", "popular", server("a1"), 0);
  start("f", "popular", server("a2"), 0);
  lose("e", server("a1"), 10);
  lose("f", server("a2"), 11);
  assert.equal(of("f").admit("popular", "x", 20).type, "isolate");
});

test("the same loss seen by two entries counts once", () => {
  const { lose, start, of } = cluster("e", "f");
  start("e", "innocent", server("a1"), 0);
  lose("e", server("a1"), 10);
  start("f", "innocent", server("a1"), 20);
  lose("f", server("a1"), 30);
  assert.equal(of("e").admit("innocent", "x", 40).type, "isolate");
});

test("a server lost again in a later incarnation counts again", () => {
  const { crash } = cluster("e", "f");
  crash("e", "poison", server("a1", 1), 0);
  crash("f", "poison", server("a1", 2), 20);
  assert.equal(crash("e", "poison", server("b1"), 40), "quarantined");
});

test("a loss that an entry notices late keeps the run's own start", () => {
  const { crash, lose, of, start } = cluster("e", "f");
  start("f", "poison", server("b1"), 20);
  lose("e", server("b1"), 25);
  crash("e", "poison", server("a1"), 0);
  lose("f", server("b1"), 60);
  assert.equal(of("e").admit("poison", "x", 70).type, "quarantined");
});

test("an answer clears a request that ran on a lost server", () => {
  const { crash, finish, of, start } = cluster("e", "f");
  crash("e", "innocent", server("a1"), 0);
  const { callId } = start("f", "innocent", server("b1"), 20);
  finish("f", callId, 30);
  assert.equal(of("e").admit("innocent", "x", 40).type, "run");
});

test("calls behind an isolated run wait and go on when it is answered", () => {
  const { crash, finish, log, start } = cluster("e");
  crash("e", "innocent", server("a1"), 0);
  const first = start("e", "innocent", server("b1"), 20);
  const second = start("e", "innocent", server("b2"), 21);
  assert.deepEqual([first.type, second.type], ["isolate", "wait"]);
  finish("e", first.callId, 30);
  assert.deepEqual(log, [`${second.callId} run`]);
});

test("calls behind an isolated run that crashes are refused", () => {
  const { crash, lose, log, of, start } = cluster("e");
  crash("e", "poison", server("a1"), 0);
  const first = start("e", "poison", server("b1"), 20);
  const second = start("e", "poison", server("c1"), 21);
  lose("e", server("b1"), 30);
  const effects = of("e").finished(first.callId, "ended", 30);
  assert.equal(effects.length, 1);
  assert.equal(log.length, 2);
  assert.ok(effects[0]?.type === "resume");
  assert.equal(effects[0].callId, second.callId);
  assert.equal(effects[0].admission.type, "quarantined");
});

test("an entry that was cut off learns the evidence when it is back", () => {
  const { connect, crash, cut, of } = cluster("e", "f", "g");
  cut.add("g");
  crash("e", "poison", server("a1"), 0);
  crash("f", "poison", server("b1"), 20);
  assert.equal(of("g").admit("poison", "x", 30).type, "run");
  connect(40);
  assert.equal(of("g").admit("poison", "y", 40).type, "quarantined");
});

test("quarantine ends, and the next loss brings it back at once", () => {
  const { crash, of } = cluster("e");
  crash("e", "poison", server("a1"), 0);
  crash("e", "poison", server("b1"), 20);
  const end = 30 + QUARANTINED_MS;
  assert.equal(of("e").admit("poison", "x", end - 1).type, "quarantined");
  assert.equal(crash("e", "poison", server("c1"), end), "isolate");
  assert.equal(of("e").admit("poison", "y", end + 20).type, "quarantined");
  const forgotten = end + 10 + SUSPECTED_MS;
  of("e").tick(forgotten);
  assert.deepEqual(of("e").size, { losses: 0, runs: 0, suspects: 0 });
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
    const { crash, lose, of, start } = cluster("e", "f", "g");
    const entry = () => "efg"[random.below(3)] ?? "e";
    const fingerprints = Array.from({ length: 60 }, (_, n) => `call-${n}`);
    let now = 0;
    // The data centre is lost server by server; calls are retried within it,
    // as if no other had servers.
    for (let n = 0; n < 8; n++) {
      const lost = server(`a${n}`);
      const at = entry();
      for (const f of fingerprints) {
        if (random.below(2) === 0) start(at, f, lost, now);
      }
      lose(at, lost, now + 1 + random.below(100));
      now += 100;
    }
    now += 5_000;
    for (const f of fingerprints) {
      const id = entry();
      const { type } = of(id).admit(f, `${f}/x`, now);
      assert.notEqual(type, "quarantined", `seed ${seed}`);
      of(id).finished(`${f}/x`, "ended", now);
    }
    const admitted: string[] = [];
    for (let n = 0; n < 3; n++, now += 20) {
      admitted.push(crash(entry(), "poison", server(`b${n}`), now));
    }
    const expected = ["run", "isolate", "quarantined"];
    assert.deepEqual(admitted, expected, `seed ${seed}`);
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
