import assert from "node:assert/strict";
import { test } from "node:test";
import { SystemRandomness } from "#model";
import { ConsolaLogger } from "#telemetry";
import { Caller } from "./caller.ts";
import { LocalSite, systemSection, until } from "./local_site.ts";

test("try", async () => {
  const site = await LocalSite.start({
    controls: 3,
    entries: 3,
    logger: new ConsolaLogger({ level: "info" }),
  });
  await until(async () => await site.controls[0]!.confirm(), {
    what: "leader",
  });
  console.log("leader", performance.now());
  console.log(
    await site.put("system", systemSection(["riga-a", "riga-b"], ["alloc"])),
  );
  console.log(
    await site.put(
      "alloc",
      `
services:
  alloc:
    classes:
      booking: { priority: urgent, deadline_ms: 5000, repeatable: false }
      lookup: { priority: patient, deadline_ms: 3000, repeatable: true }
    routes:
      - { method: POST, path: /bookings, class: booking }
      - { path: /, class: lookup }
`,
    ),
  );
  await until(() => site.entries.every((e) => e.ready), { what: "ready" });
  console.log("ready", performance.now());
  for (let i = 0; i < 4; i++)
    await site.addServer({
      id: `w${i}`,
      service: "alloc",
      dataCentre: "riga-a",
    });
  await until(() => site.entries.every((e) => e.serverCount("alloc") === 4), {
    what: "servers",
  });
  console.log("servers", performance.now());
  const caller = new Caller({
    seeds: site.addresses,
    dataCentre: "riga-a",
    randomness: new SystemRandomness(),
  });
  console.log(
    await caller.call({
      service: "alloc",
      method: "GET",
      path: "/x",
      keyed: false,
    }),
  );
  console.log(
    await caller.call({
      service: "alloc",
      method: "POST",
      path: "/bookings",
      keyed: true,
      body: "{}",
    }),
  );
  const t = performance.now();
  const all = await Promise.all(
    Array.from({ length: 200 }, (_, i) =>
      caller.call(
        i % 2
          ? { service: "alloc", method: "GET", path: "/x", keyed: false }
          : {
              service: "alloc",
              method: "POST",
              path: "/bookings",
              keyed: true,
              body: "{}",
            },
      ),
    ),
  );
  console.log(
    performance.now() - t,
    all
      .map((a) => a.outcome + a.code)
      .reduce(
        (m, k) => ((m[k] = (m[k] ?? 0) + 1), m),
        {} as Record<string, number>,
      ),
  );
  caller.close();
  await site.close();
});
