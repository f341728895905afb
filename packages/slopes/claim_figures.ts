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
import { makeConfiguration, makeRows } from "./configuration.ts";
import { cpuUs, measureHeap } from "./measure.ts";
import type { Row } from "./report.ts";
import { entryId, FIRST_INCARNATION, TARGET_ENTRIES } from "./synthetic.ts";
import { decodeFromSharedRead, encodeAndDecode } from "./wire_size.ts";

const HELD_CLAIM_COUNTS = [20_000, 60_000, 180_000];
const ENTRY_COUNTS = [20, 80, 320];
/** Views that ended within the last 33 s: a claim of a new key checks them. */
const FORMER_VIEW_COUNTS = [0, 10, 40];
const FORMER_VIEWS_ENTRY_COUNT = 80;
const MEASURED_CALLS = 80;
const STORED_ANSWER_BYTES = 300;
/** Other bytes that arrive in the same socket read as a `claim.settle`. */
const SOCKET_READ_BYTES = 8 * 1024;
const HELD_CLAIM_COUNTS_IN_READS = [2_000, 6_000, 18_000];

/** Measures memory, messages and CPU time of claims on idempotency keys. */
export function measureClaims(): Row[] {
  measureKeyedCalls(10, 0);
  const heapByClaims = HELD_CLAIM_COUNTS.map((size) => ({
    size,
    open: heapOfHeldClaims(size, false),
    settled: heapOfHeldClaims(size, true),
  }));
  const heapByClaimsInReads = HELD_CLAIM_COUNTS_IN_READS.map((size) => ({
    size,
    settled: heapOfHeldClaims(size, true, SOCKET_READ_BYTES),
  }));
  const byEntries = ENTRY_COUNTS.map((size) => ({
    size,
    ...measureKeyedCalls(size, 0),
  }));
  const byFormerViews = FORMER_VIEW_COUNTS.map((size) => ({
    size,
    ...measureKeyedCalls(FORMER_VIEWS_ENTRY_COUNT, size),
  }));
  return [
    ...makeRows(heapByClaims, { per: "claims held", target: 200_000 })([
      ["heap, claims without an answer", "bytes", (f) => f.open],
      [
        `heap, claims with ${STORED_ANSWER_BYTES} bytes`,
        "bytes",
        (f) => f.settled,
      ],
    ]),
    ...makeRows(heapByClaimsInReads, { per: "claims held", target: 200_000 })([
      [
        `heap, claims with ${STORED_ANSWER_BYTES} bytes, read with ${SOCKET_READ_BYTES}`,
        "bytes",
        (f) => f.settled,
      ],
    ]),
    ...makeRows(byEntries, { per: "entries", target: TARGET_ENTRIES })([
      ["messages per keyed call", "messages", (f) => f.messages],
      ["bytes per keyed call", "bytes", (f) => f.bytes],
      ["CPU per keyed call, all entries", "us", (f) => f.us],
    ]),
    ...makeRows(byFormerViews, {
      per: `former views of the last 33 s, ${FORMER_VIEWS_ENTRY_COUNT} entries`,
      target: 40,
    })([
      ["messages per keyed call", "messages", (f) => f.messages],
      ["CPU per keyed call, all entries", "us", (f) => f.us],
    ]),
  ];
}

const currentInstant = (): Instant => ({
  now: performance.now(),
  wallTime: Date.now(),
});

function heapOfHeldClaims(
  count: number,
  settle: boolean,
  otherBytes = 0,
): number {
  const holder = new ClaimHolder({ incarnation: 1 });
  const { bytes } = measureHeap(() => {
    for (let i = 0; i < count; i++) {
      const request: ClaimRequest = {
        key: uuidv7(),
        incarnation: FIRST_INCARNATION,
        attempt: i,
        ticket: i,
        holder: 1,
        epoch: 1,
        fingerprint: i,
      };
      const { payload } = encodeAndDecode("claim.request", request);
      holder.receive(
        "entry-0001",
        { kind: "claim.request", payload },
        currentInstant(),
      );
      if (!settle) continue;
      const answer = makeStoredAnswer();
      const settled = decodeFromSharedRead(
        "claim.settle",
        { ...request, answer },
        otherBytes,
      );
      const message = { kind: "claim.settle", payload: settled } as const;
      holder.receive("entry-0001", message, currentInstant());
    }
  });
  if (holder.size !== count)
    throw new Error("the holder has not kept all claims");
  return bytes;
}

function makeStoredAnswer(): StoredAnswer {
  return {
    status: 200,
    headers: [["content-type", "application/json"]],
    body: Buffer.alloc(STORED_ANSWER_BYTES - 28, 120),
  };
}

/**
 * Simulates keyed calls that one entry receives while all entries hold claims.
 * Returns messages, bytes and CPU time per call.
 */
function measureKeyedCalls(entries: number, formerViewCount: number) {
  const configuration = endFormerViewsNow(
    makeConfiguration(1, entries, formerViewCount),
  );
  const peers = new Map(
    configuration.view.entries.map(({ id, incarnation }, index) => {
      const randomness = new SeededRandomness(index + 1);
      return [id, new Claims({ self: id, incarnation, randomness })];
    }),
  );
  for (const claims of peers.values())
    claims.configure(configuration, currentInstant());
  let messages = 0;
  let bytes = 0;
  let granted = 0;
  const deliver = (from: string, effects: readonly ClaimEffect[]) => {
    for (const effect of effects) {
      if (effect.type === "granted") granted++;
      if (effect.type !== "send") continue;
      const { to, kind } = effect;
      const read = encodeAndDecode(kind, effect.payload);
      messages++;
      bytes += read.bytes;
      const message = { kind, payload: read.payload } as ClaimMessage;
      deliver(
        to,
        peers.get(to)?.receive(from, message, currentInstant()) ?? [],
      );
    }
  };
  const self = entryId(0);
  const start = process.cpuUsage();
  for (let i = 0; i < MEASURED_CALLS; i++) {
    const call = {
      callId: `call-${i}`,
      key: uuidv7(),
      fingerprint: i,
      waitMs: 5_000,
    };
    const ownClaims = peers.get(self);
    deliver(self, ownClaims?.claim(call, currentInstant()) ?? []);
    const answer = makeStoredAnswer();
    const outcome = { type: "ran", answer } as const;
    deliver(
      self,
      ownClaims?.settle(call.callId, outcome, currentInstant()) ?? [],
    );
  }
  const us = cpuUs(start) / MEASURED_CALLS;
  if (granted !== MEASURED_CALLS)
    throw new Error(`${granted} of ${MEASURED_CALLS} granted`);
  return {
    messages: messages / MEASURED_CALLS,
    bytes: bytes / MEASURED_CALLS,
    us,
  };
}

/** Moves the end of all former views to a second ago, so that all count. */
function endFormerViewsNow(configuration: Configuration): Configuration {
  const formerViews = configuration.formerViews.map((view) => ({
    ...view,
    // The current entries: with other incarnations, they count as lost holders.
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
