import assert from "node:assert/strict";
import { test } from "node:test";
import { EMPTY_CONFIGURATION } from "#configuration";
import type { Configuration, Entry, HostId } from "#model";
import { MAX_MESH_ENTRIES, selectRelays } from "#presence";
import { peersOf } from "./entry_network.ts";

const DATA_CENTRES = 6;
const CONTROLS = 6;
/** Links of an entry that is no relay, with those that others open to it. */
const MAX_ENTRY_LINKS = 12;

function configurationOf(count: number): Configuration {
  const entries = Array.from({ length: count }, (_, index): Entry => {
    const host = `10.0.${index >> 8}.${index & 255}`;
    return {
      id: `entry-${index}`,
      incarnation: 1,
      dataCentre: `dc-${index % DATA_CENTRES}`,
      http: { host, port: 80 },
      peer: { host, port: 81 },
      state: "ready",
    };
  });
  const controls = Array.from({ length: CONTROLS }, (_, index) => ({
    id: `control-${index}`,
    peer: { host: `10.1.0.${index}`, port: 82 },
  }));
  return {
    ...EMPTY_CONFIGURATION,
    controls,
    view: { epoch: 1, entries, began: 0 },
  };
}

/** The links between entries, each as the ids of both ends. */
function linksBetweenEntries(configuration: Configuration): string[] {
  const { entries } = configuration.view;
  return entries.flatMap(({ id }) =>
    peersOf(id, { seeds: [], configuration, allControls: false }).flatMap(
      (peer) => (peer.id === undefined ? [] : [[id, peer.id].sort().join(" ")]),
    ),
  );
}

function linkCounts(links: readonly string[]): Map<HostId, number> {
  const counts = new Map<HostId, number>();
  for (const id of links.flatMap((link) => link.split(" "))) {
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}

test("a small site links every pair of entries once", () => {
  const configuration = configurationOf(MAX_MESH_ENTRIES);
  const links = linksBetweenEntries(configuration);
  const pairs = (MAX_MESH_ENTRIES * (MAX_MESH_ENTRIES - 1)) / 2;
  assert.equal(links.length, pairs);
  assert.equal(new Set(links).size, pairs);
});

// Guards against links, and keepalives on them, that grow with the square of
// the entries.
test("at a large site an entry has a few links, whatever its size", () => {
  for (const count of [MAX_MESH_ENTRIES + 1, 316, 640]) {
    const configuration = configurationOf(count);
    const links = linksBetweenEntries(configuration);
    assert.equal(new Set(links).size, links.length, "one link a pair");
    const relays = new Set(
      [...(selectRelays(configuration.view)?.values() ?? [])].flat(),
    );
    const counts = linkCounts(links);
    for (const [id, linkCount] of counts) {
      const limit = relays.has(id)
        ? count / DATA_CENTRES + relays.size
        : MAX_ENTRY_LINKS;
      assert.ok(linkCount <= limit, `${id} has ${linkCount} links`);
    }
    assert.equal(counts.size, count, "each entry is linked");
  }
});

test("only relays are linked to all control hosts of a large site", () => {
  const configuration = configurationOf(316);
  const relays = new Set(
    [...(selectRelays(configuration.view)?.values() ?? [])].flat(),
  );
  const linked = new Map(configuration.controls.map(({ id }) => [id, 0]));
  for (const { id } of configuration.view.entries) {
    const peers = peersOf(id, { seeds: [], configuration, allControls: false });
    const controls = peers.filter((peer) => peer.id === undefined);
    assert.equal(controls.length, relays.has(id) ? CONTROLS : 2);
    for (const { address } of controls) {
      const control = `control-${address.host.split(".").at(-1)}`;
      linked.set(control, (linked.get(control) ?? 0) + 1);
    }
  }
  const mean = (316 * 2) / CONTROLS;
  for (const count of linked.values()) {
    assert.ok(count < 1.5 * mean, `${count} links, on average ${mean}`);
  }
});

test("an entry that is not in the view yet is linked to control only", () => {
  const configuration = configurationOf(316);
  const seeds = [{ host: "10.1.0.9", port: 82 }];
  const inputs = { seeds, configuration, allControls: false };
  const peers = peersOf("entry-new", inputs);
  assert.equal(peers.length, CONTROLS + seeds.length);
});

// Guards against entries that drop their links to control for good: the first
// configurations of a new site have a view but no list of control hosts.
test("without a list of control hosts an entry is linked to its seeds", () => {
  const configuration = { ...configurationOf(316), controls: [] };
  const seeds = [1, 2, 3].map((n) => ({ host: `10.1.0.${n}`, port: 82 }));
  for (const { id } of configuration.view.entries) {
    const inputs = { seeds, configuration, allControls: false };
    const peers = peersOf(id, inputs).filter((peer) => peer.id === undefined);
    assert.ok(peers.length >= 2, `${id} has ${peers.length} links to control`);
  }
});

test("an entry that needs all control hosts is linked to all of them", () => {
  const configuration = configurationOf(316);
  for (const { id } of configuration.view.entries) {
    const inputs = { seeds: [], configuration, allControls: true };
    const peers = peersOf(id, inputs).filter((peer) => peer.id === undefined);
    assert.equal(peers.length, CONTROLS);
  }
});
