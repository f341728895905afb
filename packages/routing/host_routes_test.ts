import assert from "node:assert/strict";
import { test } from "node:test";
import { type HostRoute, SeededRandomness } from "#model";
import { HostRoutes } from "./host_routes.ts";

function route(facts: Partial<HostRoute>): HostRoute {
  return {
    name: "r",
    host: "a.example",
    pathPrefix: "/",
    repeatable: true,
    timeoutMs: 2_000,
    targetMs: 600,
    attempts: 2,
    rank: 1,
    targets: [{ service: "alloc", weight: 1 }],
    ...facts,
  };
}

function routes(...list: Partial<HostRoute>[]): HostRoutes {
  const hostRoutes = new HostRoutes(new SeededRandomness(1));
  hostRoutes.configure(list.map(route));
  return hostRoutes;
}

test("the longest prefix of the path decides", () => {
  const hostRoutes = routes(
    { name: "short", pathPrefix: "/x/" },
    { name: "long", pathPrefix: "/x/y/" },
    { name: "other", pathPrefix: "/x/y/z/", host: "b.example" },
  );
  assert.equal(hostRoutes.choose("a.example", "/x/y/z/1")?.route, "long");
  assert.equal(hostRoutes.choose("a.example", "/x/yz")?.route, "short");
  assert.equal(hostRoutes.choose("a.example", "/y/"), undefined);
});

test("a host is matched without its port and case", () => {
  const hostRoutes = routes({});
  assert.equal(hostRoutes.choose("A.Example:8080", "/1")?.route, "r");
  assert.equal(hostRoutes.choose("c.example", "/1"), undefined);
});

// Shares over all entries must hold after a few hundred requests.
test("weights hold over many entries with few requests each", () => {
  const targets = [
    { service: "alloc", weight: 70 },
    { service: "report", weight: 30 },
    { service: "none", weight: 0 },
  ];
  const counts = new Map<string, number>();
  for (let entry = 0; entry < 18; entry++) {
    const hostRoutes = new HostRoutes(new SeededRandomness(entry));
    hostRoutes.configure([route({ targets })]);
    for (let i = 0; i < 17; i++) {
      const service = hostRoutes.choose("a.example", "/")?.service ?? "";
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
  }
  assert.equal(counts.get("none"), undefined);
  const share = (counts.get("report") ?? 0) / (18 * 17);
  assert.ok(Math.abs(share - 0.3) < 0.03, `${share}`);
});

// Failure: the sum of such weights is infinite, and the last service got all requests.
test("weights whose sum is infinite hold as others do", () => {
  const targets = [
    { service: "alloc", weight: 1.5e308 },
    { service: "report", weight: 0.5e308 },
  ];
  const hostRoutes = routes({ targets });
  let alloc = 0;
  for (let i = 0; i < 400; i++) {
    if (hostRoutes.choose("a.example", "/")?.service === "alloc") alloc += 1;
  }
  assert.ok(alloc > 290 && alloc < 310, `${alloc} of 400`);
});
