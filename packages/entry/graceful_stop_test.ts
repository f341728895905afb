import assert from "node:assert/strict";
import { test } from "node:test";
import { EMPTY_CONFIGURATION } from "#configuration";
import type { Entry } from "#model";
import { mayEnd } from "./graceful_stop.ts";

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
  ends: boolean;
}[] = [
  {
    name: "serves while answers name it",
    ended: 0,
    stoppingForMs: 1_000,
    ends: false,
  },
  {
    name: "stays while new keys may ask it",
    ended: 950_000,
    stoppingForMs: 60_000,
    ends: false,
  },
  {
    name: "ends when no new key asks it",
    ended: 900_000,
    stoppingForMs: 60_000,
    ends: true,
  },
  {
    name: "stays in the present view without control",
    ended: undefined,
    stoppingForMs: 60_000,
    ends: false,
  },
  {
    name: "ends at last without control",
    ended: undefined,
    stoppingForMs: 120_001,
    ends: true,
  },
];

for (const { name, ended, stoppingForMs, ends } of CASES) {
  test(`an entry that stops ${name}`, () => {
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
    const epoch = 1_000_000;
    const options = { configuration, stoppingForMs, epoch };
    assert.equal(mayEnd(SELF, options), ends);
  });
}
