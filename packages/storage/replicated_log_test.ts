import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryDisk, MemoryStorage } from "./memory_storage.ts";
import { openTestHost, TestSwitch } from "./test_hosts.ts";

const FOUNDERS = ["a", "b", "c"];

async function openCluster() {
  const wires = new TestSwitch();
  const hosts = await Promise.all(
    FOUNDERS.map((self) =>
      openTestHost({
        self,
        founders: FOUNDERS,
        network: wires.network(self),
        storage: new MemoryStorage(new MemoryDisk(`${self}1`)),
      }),
    ),
  );
  return { wires, hosts };
}

async function until(condition: () => boolean, what: string) {
  const deadline = Date.now() + 10_000;
  while (!condition()) {
    assert.ok(Date.now() < deadline, what);
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
}

// Guards against a log that works only at the leader.
test("every member takes commands and confirms reads", async () => {
  const { hosts } = await openCluster();
  await until(() => hosts.every(({ log }) => log.status().leader), "leader");
  for (const [at, { log }] of hosts.entries()) {
    assert.equal((await log.submit(`command-${at}`))._unsafeUnwrap(), at + 1);
  }
  for (const { log, machine } of hosts) {
    assert.ok((await log.confirm()).isOk());
    assert.deepEqual(machine.commands, ["command-0", "command-1", "command-2"]);
  }
  await Promise.all(hosts.map(({ log }) => log.close()));
});
