import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import type { BackendHandle } from "./backend_handle.ts";
import type { CallFaultSite } from "./call_fault_site.ts";
import type { LoadGenerator } from "./load_generator.ts";
import { ScriptedBackend } from "./scripted_backend.ts";

/** A fault of one backend server, and its permitted effects on calls. */
export interface BackendFaultCase {
  /** Completes the test title "a server …". */
  readonly name: string;
  /** Failure that the test guards against, for the test title. */
  readonly guardsAgainst: string;
  /** Injects the fault under load and repairs it. */
  readonly injectFault: (context: FaultContext) => Promise<void>;
  /**
   * Final outcomes, in the format of `countFailures`, that the fault may cause.
   */
  readonly expectedFailures?: RegExp;
  /** Maximum number of such outcomes for the given number of calls. */
  readonly maxFailures: (calls: number) => number;
}

/** The deployment and load in which a fault is injected into `server`. */
export interface FaultContext {
  readonly site: CallFaultSite;
  readonly load: LoadGenerator;
  readonly service: string;
  readonly server: BackendHandle;
}

/** Share of the executions of the next 450 calls that one server gets. */
async function executionShare({
  load,
  server,
  site,
}: FaultContext): Promise<number> {
  const countAll = () => site.executions().length;
  const [ownBefore, allBefore] = [server.executions().length, countAll()];
  await load.waitForCompleted(450);
  return (server.executions().length - ownBefore) / (countAll() - allBefore);
}

/** Slots of a server, which is how many calls its crash can interrupt. */
const SLOTS = 6;
/** Longer than the longest deadline, so that calls end at the frozen server. */
const FROZEN_MS = 6_000;
/** Time within which a leave reaches every entry (design 6.6). */
const LEAVE_SPREAD_MS = 3_000;

export const BACKEND_FAULT_CASES: readonly BackendFaultCase[] = [
  {
    name: "is killed with kill -9",
    guardsAgainst: "calls lost or run twice with their server",
    injectFault: async ({ load, server }) => {
      await server.kill();
      await load.waitForCompleted(300);
      await server.start();
      await load.waitForCompleted(150);
    },
    expectedFailures: /^booking unknown server_failed$/,
    maxFailures: () => SLOTS,
  },
  {
    name: "is frozen by SIGSTOP and resumed",
    guardsAgainst:
      "calls delayed by, or sent indefinitely to, a server that hangs",
    injectFault: async ({ load, server }) => {
      server.signal("SIGSTOP");
      await sleep(FROZEN_MS);
      server.signal("SIGCONT");
      await load.waitForCompleted(300);
    },
    // When the process resumes, Node closes connections as idle, together with
    // requests that have just been written to them.
    expectedFailures:
      /^(booking|lookup) unknown (deadline_expired|server_failed)$/,
    maxFailures: (calls) => calls * 0.05,
  },
  {
    name: "holds its connections half-open while its lease goes on",
    guardsAgainst: "unresponsive server kept in rotation by its live lease",
    injectFault: async ({ load, site, service }) => {
      const entries = site.processes.seeds;
      const handleRequest = () => undefined;
      const silent = new ScriptedBackend({
        id: "mute",
        service,
        entries,
        handleRequest,
      });
      await silent.start();
      await load.waitForCompleted(900);
      await silent.close();
      assert.ok(silent.requests > 0, "the server got calls");
      // An equal share would be a seventh of the calls.
      assert.ok(
        silent.requests < 90,
        `${silent.requests} calls were sent there`,
      );
    },
    expectedFailures:
      /^(booking|lookup) unknown (deadline_expired|server_failed)$/,
    maxFailures: (calls) => calls * 0.05,
  },
  {
    name: "resets connections in mid-body",
    guardsAgainst:
      "partial responses passed on, or bookings run again after one",
    injectFault: async ({ load, server }) => {
      await server.setBehaviour({ resetMidBody: true });
      await load.waitForCompleted(300);
      await server.setBehaviour({ resetMidBody: false });
    },
    expectedFailures: /^booking unknown server_failed$/,
    maxFailures: (calls) => calls * 0.05,
  },
  {
    name: "fails fast",
    guardsAgainst: "failing server attracting calls because it is quick",
    injectFault: async ({ load, server }) => {
      await server.setBehaviour({ failStatus: 500 });
      await load.waitForCompleted(450);
      await server.setBehaviour({ failStatus: undefined });
    },
    expectedFailures: /^(booking|lookup) answered 500$/,
    maxFailures: (calls) => calls * 0.08,
  },
  {
    name: "is a straggler",
    guardsAgainst: "slow server keeping its full share of calls",
    injectFault: async (context) => {
      await context.server.setBehaviour({ slowness: 15 });
      await context.load.waitForCompleted(150);
      const share = await executionShare(context);
      await context.server.setBehaviour({ slowness: 1 });
      assert.ok(share < 1 / 12, `the straggler had ${share} of the executions`);
    },
    maxFailures: () => 0,
  },
  {
    name: "reports no load while it is slow",
    guardsAgainst: "false load report attracting calls",
    injectFault: async (context) => {
      await context.server.setBehaviour({ claimedInFlight: 0, slowness: 15 });
      await context.load.waitForCompleted(150);
      const share = await executionShare(context);
      await context.server.setBehaviour({
        claimedInFlight: undefined,
        slowness: 1,
      });
      assert.ok(share < 1 / 12, `the server had ${share} of the executions`);
    },
    maxFailures: () => 0,
  },
  {
    name: "reports a thousand calls in flight while it is idle",
    guardsAgainst: "calls refused because of one false report",
    injectFault: async ({ load, server }) => {
      await server.setBehaviour({ claimedInFlight: 1_000 });
      await load.waitForCompleted(300);
      await server.setBehaviour({ claimedInFlight: undefined });
    },
    maxFailures: () => 0,
  },
  {
    name: "leaves",
    guardsAgainst: "new calls to a leaving server after more than 3 s",
    injectFault: async ({ load, server }) => {
      await server.leave();
      await sleep(LEAVE_SPREAD_MS);
      const before = await server.readCounts();
      await load.waitForCompleted(300);
      assert.deepEqual(await server.readCounts(), before);
      await server.kill();
      await server.start();
    },
    maxFailures: () => 0,
  },
];
