import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type BackendServer,
  EMPTY_VIEW,
  isPossibleStart,
  MAX_START_AHEAD_MS,
  ManualClock,
  SeededRandomness,
} from "#model";
import { Presence } from "./presence.ts";
import { server } from "./testing/simulation.ts";

/** A process where other programs may announce servers that are not theirs. */
function createRegistrar() {
  const presence = new Presence({
    id: "control-1",
    incarnation: 1,
    dataCentre: "riga-a",
    randomness: new SeededRandomness(1),
    registrarOnly: true,
    untrusted: new ManualClock(),
  });
  presence.configure({ services: ["alloc", "report"], view: EMPTY_VIEW }, 0);
  return (values: Partial<BackendServer>, now = 0) => {
    const { result } = presence.announce(server("w", values), now);
    return result.isOk() ? "accepted" : result.error.type;
  };
}

// A sequence that no server counts up to kept a server out of use for good: its own
// announcements counted as older.
for (const [step, expected] of [
  [1, "accepted"],
  [100_000, "accepted"],
  [100_001, "implausible_sequence"],
  [Number.MAX_SAFE_INTEGER - 5, "implausible_sequence"],
] as const) {
  test(`a sequence that is ${step} ahead is ${expected}`, () => {
    const announce = createRegistrar();
    assert.equal(announce({ sequence: 5 }), "accepted");
    assert.equal(announce({ sequence: 5 + step }), expected);
  });
}

test("a server's own sequence is accepted again at its third announcement", () => {
  const announce = createRegistrar();
  announce({ sequence: 900 });
  const results = [6, 7, 8, 9].map((sequence, index) =>
    announce({ sequence }, 1_500 * (index + 1)),
  );
  assert.deepEqual(results, [
    "older_sequence",
    "older_sequence",
    "accepted",
    "accepted",
  ]);
});

// Guards against a lease that late announcements of a crashed server renew.
for (const [name, times] of Object.entries({
  "arrive together": [5_000, 5_001, 5_002, 5_003],
  "do not go on": [1_500, 12_000, 22_000, 32_000],
})) {
  test(`older announcements that ${name} change nothing`, () => {
    const announce = createRegistrar();
    announce({ sequence: 900 });
    for (const [index, now] of times.entries()) {
      announce({ sequence: 900 }, now - 1_000);
      const result = announce({ sequence: 6 + index }, now);
      assert.equal(result, "older_sequence");
    }
  });
}

// Guards against a server that is out of use between the end of a foreign record and
// its own next announcement.
test("a former incarnation that goes on replaces a later one that is silent", () => {
  const announce = createRegistrar();
  announce({ incarnation: 2 });
  const results = [1_500, 3_000, 4_500, 6_000].map((now, index) =>
    announce({ sequence: 7 + index }, now),
  );
  const older = "older_incarnation";
  assert.deepEqual(results, [older, older, older, "accepted"]);
});

// Guards against late announcements of a crashed incarnation that end the present
// one, also where the present one announces itself elsewhere most of the time.
for (const [name, { present, late }] of Object.entries({
  "the present one goes on": {
    present: [1_000, 4_000, 7_000],
    late: [1_500, 3_000, 4_500, 6_000, 7_500, 9_000],
  },
  "they arrive together": { present: [], late: [8_000, 8_001, 8_002, 8_003] },
})) {
  test(`announcements of a former incarnation change nothing: ${name}`, () => {
    const announce = createRegistrar();
    announce({ incarnation: 2 });
    for (const [index, now] of late.entries()) {
      const isRenewed = present.filter((at) => at <= now).length;
      announce(
        { incarnation: 2, sequence: 1 + isRenewed },
        present[isRenewed - 1],
      );
      const result = announce({ sequence: 7 + index }, now);
      assert.equal(result, "older_incarnation");
    }
  });
}

test("a sequence starts anew with a new incarnation", () => {
  const announce = createRegistrar();
  announce({ sequence: 900 });
  assert.equal(announce({ incarnation: 2, sequence: 0 }), "accepted");
  assert.equal(announce({ sequence: 901 }), "older_incarnation");
});

for (const [aheadMs, expected] of [
  [0, true],
  [MAX_START_AHEAD_MS, true],
  [MAX_START_AHEAD_MS + 1, false],
] as const) {
  test(`a start ${aheadMs} ms ahead is ${expected ? "" : "im"}possible`, () => {
    const now = 1_780_000_000_000;
    assert.equal(
      isPossibleStart({ incarnation: now + aheadMs }, now),
      expected,
    );
  });
}

// Guards against a server that loses its address because checks have no result, as
// where too many of them run.
test("another address is not taken while there is no result of a check", () => {
  const announce = createRegistrar();
  const address = { host: "10.0.0.9", port: 80 };
  announce({});
  for (const now of [1_500, 3_000, 4_500, 6_000]) {
    announce({ sequence: 1 + now }, now);
    const result = announce({ incarnation: 2, address }, now);
    assert.equal(result, "unproven_address");
  }
});
