import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandomness } from "#model";
import { OutlierDetector } from "./outlier_detector.ts";
import type { ServerHealth } from "./server_health.ts";
import { SERVICE } from "./test_cluster.ts";

const CALL = { class: "lookup", serviceMs: 200, queueRatio: 0 };

interface Fleet {
  readonly outliers: OutlierDetector;
  readonly servers: readonly ServerHealth[];
}

function makeFleet(count: number): Fleet {
  const outliers = new OutlierDetector({ ...SERVICE, ejectionMaxPercent: 50 });
  const servers = Array.from({ length: count }, (_, n) =>
    outliers.add(`s${n}`, 6),
  );
  return { outliers, servers };
}

/**
 * Ends a call every 100 ms at each server that is not ejected; returns the
 * number of servers out at each step.
 */
function simulate(
  { outliers, servers }: Fleet,
  options: {
    from: number;
    ms: number;
    failing: (id: string) => number;
    random: SeededRandomness;
  },
): number[] {
  const { from, ms, failing, random } = options;
  const out: number[] = [];
  for (let now = from; now < from + ms; now += 100) {
    outliers.tick(now);
    for (const health of servers) {
      if (health.status === "ejected") continue;
      const fails = random.next() < failing(health.id);
      const kind = fails ? "failed" : "answered";
      outliers.observe(health, { ...CALL, kind }, now);
    }
    out.push(servers.filter((s) => s.status !== "good").length);
  }
  return out;
}

const mean = (values: readonly number[]) =>
  values.reduce((a, b) => a + b, 0) / values.length;

// Guards against ejections by chance: while all servers refused half of their
// calls, up to half of them were ejected, for growing periods that outlasted
// the fault.
test("when all servers fail half of their calls, few are ejected", () => {
  const outs: number[] = [];
  const after: number[] = [];
  for (let seed = 1; seed <= 20; seed++) {
    const random = new SeededRandomness(seed);
    const fleet = makeFleet(12);
    const healthy = { from: 0, ms: 5_000, failing: () => 0, random };
    simulate(fleet, healthy);
    const failing = () => 0.55;
    const fault = simulate(fleet, { from: 5_000, ms: 9_000, failing, random });
    outs.push(mean(fault));
    const end = simulate(fleet, { ...healthy, from: 14_000, ms: 2_000 });
    after.push(end.at(-1) ?? 0);
  }
  assert.ok(mean(outs) < 1, `${mean(outs)} of 12 out`);
  assert.ok(mean(after) < 0.5, `${mean(after)} of 12 out after the fault`);
});

test("a server that fails more than the others is ejected", () => {
  for (const others of [0, 0.3]) {
    const random = new SeededRandomness(3);
    const fleet = makeFleet(12);
    const failing = (id: string) => (id === "s0" ? 1 : others);
    simulate(fleet, { from: 0, ms: 8_000, failing, random });
    assert.notEqual(fleet.servers[0]?.status, "good", `others ${others}`);
  }
});

test("a trial ends with its first failure if the others have none", () => {
  const random = new SeededRandomness(5);
  const fleet = makeFleet(4);
  const failing = (id: string) => (id === "s0" ? 1 : 0);
  simulate(fleet, { from: 0, ms: 8_000, failing, random });
  const [first] = fleet.servers;
  assert.ok(first && first.ejectionMs >= 4_000, `${first?.ejectionMs}`);
});
