import assert from "node:assert/strict";
import { test } from "node:test";
import type { Clock, Entry, HostId } from "#model";
import type { Network } from "#wire";
import { OnDemandLinks } from "./on_demand_links.ts";

interface Messages {
  readonly claim: number;
}

class FakeNetwork implements Network<Messages> {
  readonly linked = new Set<HostId>();
  readonly sent: string[] = [];

  send(to: HostId, kind: string, payload: number): boolean {
    if (!this.linked.has(to)) return false;
    this.sent.push(`${kind} ${payload} to ${to}`);
    return true;
  }

  broadcast(): void {}

  handle(): void {}
}

function entry(id: HostId): Entry {
  return {
    id,
    incarnation: 1,
    dataCentre: "riga-a",
    http: { host: id, port: 80 },
    peer: { host: id, port: 81 },
    state: "ready",
  };
}

function createLinks() {
  let now = 0;
  const clock: Clock = { now: () => now, wallTime: () => now };
  const network = new FakeNetwork();
  const links = new OnDemandLinks<Messages>({
    network,
    clock,
    onPeersChanged: () => undefined,
  });
  links.setView({ epoch: 1, entries: [entry("a"), entry("b")], began: 0 });
  const advance = (ms: number) => {
    now += ms;
  };
  return { links, network, advance };
}

// Guards against keyed calls that cannot reach the holders of their claims at a
// site where entries are linked to a few others only.
test("messages to an entry without a link open one and are sent on it", () => {
  const { links, network } = createLinks();
  assert.ok(links.send("a", "claim", 1));
  assert.ok(links.send("a", "claim", 2));
  assert.deepEqual(
    links.peers.map(({ id }) => id),
    ["a"],
  );
  network.linked.add("a");
  links.peerUp("a");
  assert.deepEqual(network.sent, ["claim 1 to a", "claim 2 to a"]);
});

test("a message that waited too long is not sent", () => {
  const { links, network, advance } = createLinks();
  links.send("a", "claim", 1);
  advance(3_000);
  network.linked.add("a");
  links.peerUp("a");
  assert.deepEqual(network.sent, []);
});

test("an unused link on demand is closed, and none is opened to a stranger", () => {
  const { links, network, advance } = createLinks();
  assert.equal(links.send("stranger", "claim", 1), false);
  links.send("a", "claim", 1);
  network.linked.add("a");
  advance(20_000);
  links.send("a", "claim", 2);
  advance(20_000);
  links.tick();
  assert.equal(links.peers.length, 1, "it was used 20 s ago");
  advance(20_000);
  links.tick();
  assert.equal(links.peers.length, 0);
});
