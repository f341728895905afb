import assert from "node:assert/strict";
import { test } from "node:test";
import {
  applyChange,
  diffConfigurations,
  EMPTY_CONFIGURATION,
} from "#configuration";
import type { Configuration } from "#model";
import { serverRecord } from "./test_server_record.ts";
import { UsableServers } from "./usable_servers.ts";

function configuration(version: number, evacuated: string[]): Configuration {
  const document = { ...EMPTY_CONFIGURATION.document, evacuated };
  return { ...EMPTY_CONFIGURATION, version, document };
}

test("servers of evacuated data centres are unusable until the order ends", () => {
  const servers = ["riga-a", "riga-b", "riga-a"].map((dataCentre, index) =>
    serverRecord(1, { id: `s${index}`, dataCentre }),
  );
  const usable = new UsableServers();
  const usableIds = () => usable.filter(servers).map(({ id }) => id);
  let current = EMPTY_CONFIGURATION;
  // Entries get differences, which keep the identity of what is unchanged.
  const publish = (next: Configuration) => {
    const applied = applyChange(current, diffConfigurations(current, next));
    assert.ok(applied);
    current = applied;
    return usable.configure(current);
  };
  publish(configuration(1, []));
  assert.deepEqual(usableIds(), ["s0", "s1", "s2"]);
  assert.equal(publish(configuration(2, ["riga-a"])), true);
  assert.deepEqual(usableIds(), ["s1"]);
  assert.equal(publish(configuration(3, ["riga-a"])), false);
  assert.equal(publish(configuration(4, ["riga-a", "riga-b"])), true);
  assert.deepEqual(usableIds(), []);
  assert.equal(publish(configuration(5, [])), true);
  assert.deepEqual(usableIds(), ["s0", "s1", "s2"]);
});
