import { v7 as uuidv7 } from "uuid";
import {
  type ClaimEffect,
  ClaimHolder,
  type ClaimMessage,
  type ClaimRequest,
  Claims,
  type Instant,
  type StoredAnswer,
} from "#claims";
import { type Configuration, SeededRandomness } from "#model";
import { configurationOf, rowsOf } from "./configuration.ts";
import { cpuUs, heapOf } from "./measure.ts";
import type { Row } from "./report.ts";
import { entryId, INCARNATION, TARGET_ENTRIES } from "./synthetic.ts";
import { passed, readOf } from "./wire_size.ts";

const HELD = [20_000, 60_000, 180_000];
const ENTRIES = [20, 80, 320];
/** Views that ended within the last 33 s, which count for a new key. */
const FORMER_VIEWS = [0, 10, 40];
const FORMER_ENTRIES = 80;
const CALLS = 80;
const SETTLED_BYTES = 300;
/** Bytes that arrive together with a claim's end, in one read of a socket. */
const READ_BYTES = 8 * 1024;
const READS = [2_000, 6_000, 18_000];

/** Memory, messages and processor time of claims on keys. */
export function claimFigures(): Row[] {
  calls(10, 0);
  const heap = HELD.map((size) => ({
    size,
    open: heldBytes(size, false),
    settled: heldBytes(size, true),
  }));
  const reads = READS.map((size) => ({
    size,
    settled: heldBytes(size, true, READ_BYTES),
  }));
  const entries = ENTRIES.map((size) => ({ size, ...calls(size, 0) }));
  const former = FORMER_VIEWS.map((size) => ({
    size,
    ...calls(FORMER_ENTRIES, size),
  }));
  return [
    ...rowsOf(heap, { per: "claims held", target: 200_000 })([
      ["heap, claims without an answer", "bytes", (f) => f.open],
      [`heap, claims with ${SETTLED_BYTES} bytes`, "bytes", (f) => f.settled],
    ]),
    ...rowsOf(reads, { per: "claims held", target: 200_000 })([
      [
        `heap, claims with ${SETTLED_BYTES} bytes, read with ${READ_BYTES}`,
        "bytes",
        (f) => f.settled,
      ],
    ]),
    ...rowsOf(entries, { per: "entries", target: TARGET_ENTRIES })([
      ["messages per keyed call", "messages", (f) => f.messages],
      ["bytes per keyed call", "bytes", (f) => f.bytes],
      ["CPU per keyed call, all entries", "us", (f) => f.us],
    ]),
    ...rowsOf(former, {
      per: `former views of the last 33 s, ${FORMER_ENTRIES} entries`,
      target: 40,
    })([
      ["messages per keyed call", "messages", (f) => f.messages],
      ["CPU per keyed call, all entries", "us", (f) => f.us],
    ]),
  ];
}

const at = (): Instant => ({ now: performance.now(), wallTime: Date.now() });

function heldBytes(count: number, settle: boolean, together = 0): number {
  const holder = new ClaimHolder({ incarnation: 1 });
  const { bytes } = heapOf(() => {
    for (let i = 0; i < count; i++) {
      const request: ClaimRequest = {
        key: uuidv7(),
        incarnation: INCARNATION,
        attempt: i,
        ticket: i,
        holder: 1,
        epoch: 1,
        fingerprint: i,
      };
      const { payload } = passed("claim.request", request);
      holder.receive("entry-0001", { kind: "claim.request", payload }, at());
      if (!settle) continue;
      const answer = answerOf();
      const settled = readOf("claim.settle", { ...request, answer }, together);
      const message = { kind: "claim.settle", payload: settled } as const;
      holder.receive("entry-0001", message, at());
    }
  });
  if (holder.size !== count) throw new Error("claims were not held");
  return bytes;
}

function answerOf(): StoredAnswer {
  return {
    status: 200,
    headers: [["content-type", "application/json"]],
    body: Buffer.alloc(SETTLED_BYTES - 28, 120),
  };
}

/** Keyed calls of one entry; the other entries are holders. */
function calls(entries: number, former: number) {
  const configuration = recent(configurationOf(1, entries, former));
  const peers = new Map(
    configuration.view.entries.map(({ id, incarnation }, index) => {
      const randomness = new SeededRandomness(index + 1);
      return [id, new Claims({ self: id, incarnation, randomness })];
    }),
  );
  for (const claims of peers.values()) claims.configure(configuration, at());
  let messages = 0;
  let bytes = 0;
  let granted = 0;
  const carry = (from: string, effects: readonly ClaimEffect[]) => {
    for (const effect of effects) {
      if (effect.type === "granted") granted++;
      if (effect.type !== "send") continue;
      const { to, kind } = effect;
      const read = passed(kind, effect.payload);
      messages++;
      bytes += read.bytes;
      const message = { kind, payload: read.payload } as ClaimMessage;
      carry(to, peers.get(to)?.receive(from, message, at()) ?? []);
    }
  };
  const self = entryId(0);
  const start = process.cpuUsage();
  for (let i = 0; i < CALLS; i++) {
    const call = {
      callId: `call-${i}`,
      key: uuidv7(),
      fingerprint: i,
      waitMs: 5_000,
    };
    const own = peers.get(self);
    carry(self, own?.claim(call, at()) ?? []);
    const answer = answerOf();
    const outcome = { type: "ran", answer } as const;
    carry(self, own?.settle(call.callId, outcome, at()) ?? []);
  }
  const us = cpuUs(start) / CALLS;
  if (granted !== CALLS) throw new Error(`${granted} of ${CALLS} granted`);
  return { messages: messages / CALLS, bytes: bytes / CALLS, us };
}

/** Former views that ended just now, so that all of them count. */
function recent(configuration: Configuration): Configuration {
  const formerViews = configuration.formerViews.map((view) => ({
    ...view,
    // The entries of the present view: restarted ones would be lost holders.
    entries: configuration.view.entries,
    began: Date.now() - (view.epoch === 1 ? 3_600_000 : 2_000),
    ended: Date.now() - 1_000,
  }));
  const began = Date.now() - 3_600_000;
  return {
    ...configuration,
    formerViews,
    view: { ...configuration.view, began },
  };
}
