import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type ConfigurationMessages,
  diffConfigurations,
  EMPTY_CONFIGURATION,
} from "#configuration";
import { type Configuration, type Entry, ManualClock } from "#model";
import { SilentLogger } from "#telemetry";
import type { Hello, Network } from "#wire";
import { ConfigurationFollower } from "./configuration_follower.ts";

const ADDRESS = { host: "127.0.0.1", port: 1 };

function entry(id: string): Entry {
  return {
    id,
    incarnation: 1,
    dataCentre: "riga-a",
    http: ADDRESS,
    peer: ADDRESS,
    state: "ready",
  };
}

const ENTRIES = ["e1", "e2", "e3", "e4", "e5"].map(entry);

function configuration(version: number): Configuration {
  const view = { epoch: 1, entries: ENTRIES, began: 0 };
  return { ...EMPTY_CONFIGURATION, version, view };
}

/** Followers that reach each other, and no control host. */
class Peers {
  readonly clock = new ManualClock();
  readonly sent: { kind: string; from: string; to: string }[] = [];
  readonly followers = new Map<string, ConfigurationFollower>();
  readonly #handlers = new Map<string, (p: unknown, from: Hello) => void>();

  constructor() {
    for (const self of ENTRIES) {
      const follower = new ConfigurationFollower({
        network: this.#network(self.id),
        clock: this.clock,
        logger: new SilentLogger(),
        self: () => self,
        controls: () => [],
        stopReports: () => [],
        changed: () => undefined,
      });
      this.followers.set(self.id, follower);
    }
  }

  give(id: string, version: number): void {
    const change = diffConfigurations(
      EMPTY_CONFIGURATION,
      configuration(version),
    );
    this.deliver("e0", id, "version_push", { change });
  }

  deliver(from: string, to: string, kind: string, payload: unknown): void {
    const hello: Hello = {
      id: from,
      role: "entry",
      incarnation: 1,
      cluster: "c",
      version: 1,
    };
    this.#handlers.get(`${to} ${kind}`)?.(payload, hello);
  }

  #network(self: string): Network<ConfigurationMessages> {
    return {
      send: (to, kind, payload) => {
        this.sent.push({ kind, from: self, to });
        this.deliver(self, to, kind, payload);
        return true;
      },
      broadcast: () => undefined,
      handle: (kind, handler) => {
        this.#handlers.set(`${self} ${kind}`, handler as never);
      },
    };
  }
}

// Every peer pushed its whole configuration: over half of all bytes on a day
// with a cut control plane.
test("an entry that is behind gets the configuration from one peer", () => {
  const peers = new Peers();
  for (const { id } of ENTRIES) peers.give(id, id === "e1" ? 1 : 5);
  peers.clock.advance(2_000);
  peers.sent.length = 0;
  peers.followers.get("e1")?.confirm();
  assert.equal(peers.followers.get("e1")?.version, 5);
  const pushes = peers.sent.filter(({ kind }) => kind === "version_push");
  assert.equal(pushes.length, 1);
});

test("another peer is asked if the first does not send", () => {
  const peers = new Peers();
  for (const { id } of ENTRIES) peers.give(id, id === "e1" ? 1 : 5);
  peers.clock.advance(2_000);
  const follower = peers.followers.get("e1");
  // A peer that says that it is ahead and then sends nothing.
  peers.deliver("e9", "e1", "version_answer", { version: 5, round: 0 });
  assert.equal(follower?.version, 1);
  peers.clock.advance(400);
  follower?.confirm();
  assert.equal(follower?.version, 5);
});
