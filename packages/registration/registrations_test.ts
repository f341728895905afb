import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type BackendServer,
  EMPTY_VIEW,
  ManualClock,
  SeededRandomness,
} from "#model";
import { type Identity, Presence, type PresenceMessages } from "#presence";
import { SilentLogger } from "#telemetry";
import type { Network } from "#wire";
import { Registrations } from "./registrations.ts";

const NETWORK: Network<PresenceMessages> = {
  send: () => false,
  broadcast: () => undefined,
  handle: () => undefined,
};

function server(id: number, port: number, incarnation: number): BackendServer {
  return {
    id: `w${id}`,
    service: "alloc",
    address: { host: "10.0.0.1", port },
    dataCentre: "riga-a",
    incarnation,
    sequence: 1,
    state: "ready",
    slots: 1,
    connections: 1,
    inFlight: 0,
    startedMsAgo: 0,
  };
}

function createRegistrations(
  verify: (server: BackendServer) => Promise<Identity>,
) {
  const clock = new ManualClock();
  const presence = new Presence({
    id: "control-1",
    incarnation: 1,
    dataCentre: "riga-a",
    randomness: new SeededRandomness(1),
    untrusted: clock,
  });
  const registrations = new Registrations({
    presence,
    clock,
    network: NETWORK,
    logger: new SilentLogger(),
    onServersChanged: () => undefined,
    onServerGone: () => undefined,
    verify,
  });
  presence.configure({ services: ["alloc"], view: EMPTY_VIEW }, 0);
  return { clock, presence, registrations };
}

// Guards against a program that makes control hosts open connections without bound
// by announcing other addresses of many servers.
test("at most 20 checks of addresses run at a time", async () => {
  const answers: ((identity: Identity) => void)[] = [];
  const { clock, presence, registrations } = createRegistrations(
    () => new Promise((resolve) => answers.push(resolve)),
  );
  for (const incarnation of [1, 2]) {
    for (let id = 0; id < 50; id++) {
      const announced = server(id, incarnation, incarnation);
      registrations.execute(presence.announce(announced, clock.now()).effects);
    }
  }
  assert.equal(answers.length, 20);
  const unchecked = presence.announce(server(49, 2, 2), clock.now());
  assert.equal(unchecked.result.isErr(), true);
  for (const answer of answers) answer("same");
  await registrations.checked("w0");
  clock.advance(2_000);
  registrations.execute(
    presence.announce(server(49, 2, 2), clock.now()).effects,
  );
  assert.equal(answers.length, 22);
});

// Guards against a failed check that ends the process, as nobody owns it.
test("a check that fails counts as one without an answer", async () => {
  const { clock, presence, registrations } = createRegistrations(() =>
    Promise.reject(new Error("no check")),
  );
  for (const incarnation of [1, 2]) {
    const announced = server(1, incarnation, incarnation);
    registrations.execute(presence.announce(announced, clock.now()).effects);
  }
  await registrations.checked("w1");
  const { result } = presence.announce(server(1, 2, 2), clock.now());
  assert.equal(result.isOk(), true);
});
