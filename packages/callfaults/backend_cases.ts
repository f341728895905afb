import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import type { Backend } from "./backend.ts";
import type { CallSite } from "./call_site.ts";
import type { Load } from "./load.ts";
import { RawBackend } from "./raw_backend.ts";

/** What a fault of one backend server does to calls, and what it must not. */
export interface BackendCase {
  readonly name: string;
  /** What the test guards against. */
  readonly guards: string;
  readonly play: (scene: Scene) => Promise<void>;
  /** Final answers that the fault explains. */
  readonly explained?: RegExp;
  /** Largest number of such answers, of the calls made. */
  readonly limit: (calls: number) => number;
}

export interface Scene {
  readonly site: CallSite;
  readonly load: Load;
  readonly service: string;
  readonly server: Backend;
}

/** Share of the runs of the last calls that one server had. */
async function shareOf({ load, server, site }: Scene): Promise<number> {
  const count = () => site.runs().length;
  const [own, all] = [server.runs().length, count()];
  await load.further(450);
  return (server.runs().length - own) / (count() - all);
}

const SLOTS = 6;

export const BACKEND_CASES: readonly BackendCase[] = [
  {
    name: "is killed with kill -9",
    guards: "calls lost or run twice with their server",
    play: async ({ load, server }) => {
      await server.kill();
      await load.further(300);
      await server.start();
      await load.further(150);
    },
    explained: /^booking unknown server_failed$/,
    limit: () => SLOTS,
  },
  {
    name: "is frozen by SIGSTOP and woken",
    guards: "calls held up by, or sent for ever to, a server that hangs",
    play: async ({ load, server }) => {
      server.signal("SIGSTOP");
      await sleep(6_000);
      server.signal("SIGCONT");
      await load.further(300);
    },
    // Node closes connections as idle when the process wakes, with the
    // requests that have just been written to them.
    explained: /^(booking|lookup) unknown (deadline_expired|server_failed)$/,
    limit: (calls) => calls * 0.05,
  },
  {
    name: "holds its connections half-open while its lease goes on",
    guards: "a live lease keeping a server that answers nothing in rotation",
    play: async ({ load, site, service }) => {
      const entries = site.processes.seeds;
      const serve = () => undefined;
      const mute = new RawBackend({ id: "mute", service, entries, serve });
      await mute.start();
      await load.further(900);
      await mute.close();
      assert.ok(mute.requests > 0, "the server got calls");
      // A seventh of the calls would be its share.
      assert.ok(mute.requests < 90, `${mute.requests} calls were sent there`);
    },
    explained: /^(booking|lookup) unknown (deadline_expired|server_failed)$/,
    limit: (calls) => calls * 0.05,
  },
  {
    name: "resets connections in mid-body",
    guards: "half answers passed on, or bookings run again after one",
    play: async ({ load, server }) => {
      await server.behave({ resetMidBody: true });
      await load.further(300);
      await server.behave({ resetMidBody: false });
    },
    explained: /^booking unknown server_failed$/,
    limit: (calls) => calls * 0.05,
  },
  {
    name: "fails fast",
    guards: "a failing server attracting calls because it is quick",
    play: async ({ load, server }) => {
      await server.behave({ failStatus: 500 });
      await load.further(450);
      await server.behave({ failStatus: undefined });
    },
    explained: /^(booking|lookup) answered 500$/,
    limit: (calls) => calls * 0.08,
  },
  {
    name: "is a straggler",
    guards: "a slow server keeping its full share of calls",
    play: async (scene) => {
      await scene.server.behave({ slowness: 15 });
      await scene.load.further(150);
      const share = await shareOf(scene);
      await scene.server.behave({ slowness: 1 });
      assert.ok(share < 1 / 12, `the straggler had ${share} of the runs`);
    },
    limit: () => 0,
  },
  {
    name: "reports no load while it is slow",
    guards: "a false load report attracting calls",
    play: async (scene) => {
      await scene.server.behave({ claimedInFlight: 0, slowness: 15 });
      await scene.load.further(150);
      const share = await shareOf(scene);
      await scene.server.behave({ claimedInFlight: undefined, slowness: 1 });
      assert.ok(share < 1 / 12, `the server had ${share} of the runs`);
    },
    limit: () => 0,
  },
  {
    name: "reports a thousand calls in flight while it is idle",
    guards: "calls refused on the word of one false report",
    play: async ({ load, server }) => {
      await server.behave({ claimedInFlight: 1_000 });
      await load.further(300);
      await server.behave({ claimedInFlight: undefined });
    },
    limit: () => 0,
  },
  {
    name: "leaves",
    guards: "new work at a leaving server after more than 3 s",
    play: async ({ load, server }) => {
      await server.leave();
      await sleep(3_000);
      const before = await server.report();
      await load.further(300);
      assert.deepEqual(await server.report(), before);
      await server.kill();
      await server.start();
    },
    limit: () => 0,
  },
];
