import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandomness } from "#model";
import { ClientAccount, CONNECTION_BYTES } from "./client_account.ts";
import { clientBounds, serverConnectionsMax } from "./client_bounds.ts";

const BODY_BYTES = 65_536;

function makeAccount(bounds = {}) {
  return new ClientAccount<string>({
    heldBytesMax: 33_000_000,
    residentBytesMax: 141_000_000,
    connectionsMax: 1_400,
    ...bounds,
  });
}

/** Closes what the account says, and returns it. */
function evict(account: ClientAccount<string>): string[] {
  const names = account.evictions().map(({ connection }) => connection);
  for (const name of names) account.close(name);
  return names;
}

// Guards against unfinished bodies that fill the memory of the host.
test("unfinished bodies stay under the bound and spare whole requests", () => {
  const account = makeAccount();
  account.open("ordinary", 0);
  account.charge("ordinary", BODY_BYTES);
  account.progress("ordinary", 0);
  const evicted: string[] = [];
  for (let index = 0; index < 1_000; index++) {
    account.open(`crowd-${index}`, index + 1);
    account.charge(`crowd-${index}`, BODY_BYTES);
    evicted.push(...evict(account));
    assert.ok(account.heldBytes <= 33_000_000);
  }
  assert.ok(evicted.length > 0);
  assert.ok(!evicted.includes("ordinary"));
  assert.equal(evicted[0], "crowd-0");
});

/** A kind of client: what it holds, and how it came to it. */
interface Kind {
  readonly heldBytes: number;
  readonly hasCompleted: boolean;
}

/** What crowds do: bodies that stop, small parts, many fields, answers unread. */
const CROWD_KINDS: readonly Kind[] = [70_000, 500, 160_000, 20_000].flatMap(
  (heldBytes) => [
    { heldBytes, hasCompleted: false },
    { heldBytes, hasCompleted: true },
  ],
);
/** A caller's request without a body. */
const CALLER_BYTES = 4_600;

// Failure: a crowd of which each client has had a cheap answer made an entry close the
// callers whose requests were at servers, as their last progress was older.
test("no caller that waits for an answer is closed while a crowd is left", () => {
  for (let seed = 1; seed <= 300; seed++) {
    const random = new SeededRandomness(seed);
    const account = makeAccount({ connectionsMax: 500 + random.below(3_000) });
    const callers = 1 + random.below(60);
    const kinds = CROWD_KINDS.filter(() => random.next() < 0.4);
    const crowd = 600 + random.below(2_400);
    const open = new Set<string>();
    const add = (name: string, kind: Kind, isWaiting: boolean) => {
      const now = open.size;
      account.open(name, now, () => isWaiting);
      if (kind.hasCompleted) account.progress(name, now);
      account.charge(name, kind.heldBytes);
      open.add(name);
      for (const { connection } of account.evictions()) {
        account.close(connection);
        open.delete(connection);
        const isCaller = connection.startsWith("caller");
        const isCrowdLeft = [...open].some((other) => other.startsWith("c-"));
        assert.ok(!isCaller || !isCrowdLeft, `seed ${seed}: ${connection}`);
      }
      assert.ok(!account.isExceeded, `seed ${seed}`);
    };
    for (let i = 0; i < callers; i++) {
      const hasCompleted = random.next() < 0.7;
      add(`caller-${i}`, { heldBytes: CALLER_BYTES, hasCompleted }, true);
    }
    for (let i = 0; i < crowd && kinds.length > 0; i++) {
      add(`c-${i}`, kinds[random.below(kinds.length)] as Kind, false);
    }
    const left = [...open].filter((name) => name.startsWith("caller")).length;
    assert.equal(left, callers, `seed ${seed}`);
  }
});

// Failure: clients that hold much wait for an answer too, with a second body behind a
// whole request, and rank with callers.
test("of those that wait for an answer the costliest are closed first", () => {
  const account = makeAccount({ heldBytesMax: 3_000_000 });
  const isWaiting = () => true;
  for (let i = 0; i < 40; i++) {
    account.open(`caller-${i}`, i, isWaiting);
    account.progress(`caller-${i}`, i);
    account.charge(`caller-${i}`, CALLER_BYTES);
  }
  for (let i = 0; i < 100; i++) {
    account.open(`c-${i}`, 100 + i, isWaiting);
    account.progress(`c-${i}`, 100 + i);
    account.charge(`c-${i}`, BODY_BYTES);
    assert.ok(evict(account).every((name) => name.startsWith("c-")));
  }
});

// Guards against slow clients that are closed for what a crowd holds.
test("of unfinished requests the costliest are closed first", () => {
  const account = makeAccount({ heldBytesMax: 400_000 });
  account.open("slow", 0);
  account.charge("slow", 200);
  for (let index = 0; index < 20; index++) {
    account.open(`crowd-${index}`, index + 1);
    account.charge(`crowd-${index}`, 10_000 + 100 * index);
  }
  account.open("last", 100);
  account.charge("last", BODY_BYTES);
  assert.deepEqual(evict(account).slice(0, 2), ["last", "crowd-19"]);
});

// Guards against silent connections that take all descriptors.
test("silent connections make room, and idle ones that served stay", () => {
  const account = makeAccount({ connectionsMax: 100 });
  for (let index = 0; index < 50; index++) {
    account.open(`served-${index}`, index);
    account.progress(`served-${index}`, index);
  }
  for (let index = 0; index < 300; index++) {
    account.open(`silent-${index}`, 100 + index);
    for (const name of evict(account)) assert.match(name, /^silent/);
    assert.ok(account.connections <= 100);
  }
});

// Guards against clients that complete one request and then read no answer.
test("of connections that completed requests the longest stuck goes first", () => {
  const account = makeAccount({ heldBytesMax: 10 * CONNECTION_BYTES });
  for (const [name, at] of [
    ["stuck", 1],
    ["recent", 5],
  ] as const) {
    account.open(name, at);
    account.progress(name, at);
    account.charge(name, 5 * CONNECTION_BYTES);
  }
  assert.deepEqual(evict(account), ["stuck"]);
});

test("connections that hold nothing are not closed for memory", () => {
  const account = makeAccount({ heldBytesMax: 4 * CONNECTION_BYTES });
  account.open("silent", 0);
  account.open("full", 1);
  account.charge("full", 4 * CONNECTION_BYTES);
  assert.deepEqual(evict(account), ["full"]);
});

// Guards against a charge that outlives its connection.
test("a closed connection is charged for nothing", () => {
  const account = makeAccount();
  account.open("a", 0);
  account.charge("a", BODY_BYTES);
  account.close("a");
  account.charge("a", BODY_BYTES);
  assert.equal(account.heldBytes, 0);
});

test("bounds follow the host and keep descriptors for others", () => {
  const bounds = clientBounds({ memoryMb: 202, descriptorsMax: 2_069 });
  assert.equal(bounds.connectionsMax, 1_401);
  assert.equal(serverConnectionsMax(2_069), 350);
  assert.ok(bounds.heldBytesMax < 34_000_000);
  assert.ok(bounds.residentBytesMax < 142_000_000);
  const unknown = { memoryMb: undefined, descriptorsMax: undefined };
  assert.equal(clientBounds(unknown).heldBytesMax, Number.POSITIVE_INFINITY);
  assert.equal(serverConnectionsMax(undefined), Number.POSITIVE_INFINITY);
});

// Guards against a bound that many connections exceed together, each with too little
// to be closed.
test("many connections that hold little each stay under the bound too", () => {
  const account = makeAccount({ connectionsMax: 4_000 });
  for (let index = 0; index < 3_500; index++) {
    account.open(`client-${index}`, index);
    account.charge(`client-${index}`, 5_000);
    evict(account);
    assert.ok(account.heldBytes <= 33_000_000);
  }
});

// Guards against a process that takes more than its host has, by garbage that the
// account does not count.
test("a process that takes too much closes connections that hold much", () => {
  const account = makeAccount();
  for (let index = 0; index < 200; index++) {
    account.open(`crowd-${index}`, index);
    account.charge(`crowd-${index}`, 2 * BODY_BYTES);
    account.open(`small-${index}`, index);
    account.charge(`small-${index}`, 5_000);
  }
  account.setResidentBytes(141_000_000);
  assert.deepEqual(evict(account), []);
  account.setResidentBytes(151_000_000);
  const evicted = evict(account);
  assert.equal(evicted[0], "crowd-0");
  assert.ok(evicted.every((name) => name.startsWith("crowd")));
  assert.ok(
    account.heldBytes < 23_000_000 + 400 * CONNECTION_BYTES + 1_000_000,
  );
});

// Guards against requests inside the limits that are refused because of memory that
// the process keeps.
test("a process that takes too much still reads bodies of ordinary requests", () => {
  const account = makeAccount();
  account.setResidentBytes(1_000_000_000);
  for (let index = 0; index < 60; index++) {
    account.open(`ordinary-${index}`, index);
    account.charge(`ordinary-${index}`, 2 * BODY_BYTES);
  }
  assert.deepEqual(evict(account), []);
});
