import assert from "node:assert/strict";
import { test } from "node:test";
import { EMPTY_CONFIGURATION } from "#configuration";
import type { Entry } from "#model";
import { canExit } from "./graceful_stop.ts";

const ADDRESS = { host: "127.0.0.1", port: 1 };
const SELF: Entry = {
  id: "e1",
  incarnation: 1,
  dataCentre: "riga-a",
  http: ADDRESS,
  peer: ADDRESS,
  state: "ready",
};

const CASES: {
  name: string;
  ended: number | undefined;
  stoppingForMs: number;
  expected: boolean;
}[] = [
  {
    name: "stays while cached lookups name it",
    ended: 0,
    stoppingForMs: 1_000,
    expected: false,
  },
  {
    name: "stays while it may hold new keys",
    ended: 950_000,
    stoppingForMs: 60_000,
    expected: false,
  },
  {
    name: "exits when it holds no new keys",
    ended: 900_000,
    stoppingForMs: 60_000,
    expected: true,
  },
  {
    name: "stays while the view does not change",
    ended: undefined,
    stoppingForMs: 60_000,
    expected: false,
  },
  {
    name: "exits after a time limit if the view does not change",
    ended: undefined,
    stoppingForMs: 120_001,
    expected: true,
  },
];

for (const { name, ended, stoppingForMs, expected } of CASES) {
  test(`a stopping entry ${name}`, () => {
    const ready = { epoch: 1, began: 0, entries: [SELF] };
    const stopping = {
      epoch: 2,
      began: 0,
      entries: [{ ...SELF, state: "stopping" as const }],
    };
    const configuration = {
      ...EMPTY_CONFIGURATION,
      view: ended === undefined ? ready : stopping,
      formerViews: ended === undefined ? [] : [{ ...ready, ended }],
    };
    const wallTime = 1_000_000;
    const options = { configuration, stoppingForMs, wallTime };
    assert.equal(canExit(SELF, options), expected);
  });
}
