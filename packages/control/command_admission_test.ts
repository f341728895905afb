import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Item,
  type PutSection,
  Registry,
  type RegistryCommand,
} from "#registry";
import { ALLOC_ACTOR, putSection, SYSTEM_ACTOR } from "../registry/fixtures.ts";
import { isAdmitted } from "./command_admission.ts";

function service(name: string, version: number): Item {
  const service = { name, healthPath: "/health", connectionsPerServer: 260 };
  const content = { kind: "service", service } as const;
  return { kind: "service", name, version, content, source: name };
}

/** A route with a path of so many bytes. */
function route(name: string, version: number, bytes: number): Item {
  const route = {
    name,
    host: "a.example",
    pathPrefix: `/${"x".repeat(bytes)}`,
    repeatable: true,
    timeoutMs: 2_000,
    targetMs: 600,
    attempts: 2,
    rank: 2,
    targets: [{ service: "alloc", weight: 1 }],
  };
  const content = { kind: "route", route } as const;
  return { kind: "route", name, version, content, source: name };
}

function put(
  upserts: readonly Item[],
  removals: readonly Item[] = [],
): RegistryCommand {
  return { type: "put_items", upserts, removals, at: 1 };
}

function leaves(ids: readonly string[], isKnown?: boolean): RegistryCommand {
  const servers = ids.map((id) => ({ id, incarnation: 1 }));
  const command = { type: "servers_leaving", servers, at: 1 } as const;
  return isKnown === undefined ? command : { ...command, isKnown };
}

/** Long ids, of which some hundred fill the room of unknown servers. */
function ids(prefix: string, count: number): string[] {
  return Array.from(
    { length: count },
    (_, i) => `${prefix}${i}-${"x".repeat(200)}`,
  );
}

const ALLOC = put([service("alloc", 1)]);
const LARGE = 400_000;

// Failure: orders at once that each fit, and do not fit together, were all accepted,
// and no entry that started could be sent the configuration.
test("an order is checked behind those that are logged and not applied", () => {
  const registry = new Registry();
  registry.apply(ALLOC);
  const first = put([route("a", 1, LARGE)]);
  const second = put([route("b", 1, LARGE)]);
  const third = put([route("c", 1, LARGE)]);
  assert.ok(isAdmitted(registry, third, () => []));
  assert.ok(isAdmitted(registry, third, () => [first]));
  assert.ok(!isAdmitted(registry, third, () => [first, second]));
  // What is logged already, and what makes room, is admitted.
  assert.ok(isAdmitted(registry, second, () => [first, second]));
  const removal = put([], [route("a", 2, 0)]);
  assert.ok(isAdmitted(registry, third, () => [first, second, removal]));
});

// Failure: a route is in force without its service, which another order dropped at the
// same time with a higher version.
test("an order that lacks a service of which the removal is logged is not admitted", () => {
  const registry = new Registry();
  registry.apply(ALLOC);
  const order = put([service("alloc", 2), route("a", 2, 10)]);
  const removal = put([], [service("alloc", 9)]);
  assert.ok(isAdmitted(registry, order, () => []));
  assert.ok(!isAdmitted(registry, order, () => [removal]));
});

// Replicas refuse such a command when they apply it, so that it takes no room.
test("a logged order that will be refused is not counted", () => {
  const registry = new Registry();
  registry.apply(ALLOC);
  const invalid = put(
    [service("b", 1), route("a", 1, LARGE)],
    [service("alloc", 9)],
  );
  const valid = put([route("c", 1, LARGE), route("d", 1, LARGE)]);
  assert.ok(isAdmitted(registry, valid, () => [invalid]));
});

// Failure: leaves at once, each of which has room, fill what is kept for known servers.
test("leaves of unknown servers share their room with those that are logged", () => {
  const registry = new Registry();
  const logged = leaves(ids("a", 300), false);
  const [id = ""] = ids("b", 1);
  assert.ok(isAdmitted(registry, leaves([id], false), () => []));
  assert.ok(!isAdmitted(registry, leaves([id], false), () => [logged]));
  assert.ok(isAdmitted(registry, leaves([id], true), () => [logged]));
  // A host of an earlier build has asked whether the server is known.
  assert.ok(isAdmitted(registry, leaves([id]), () => [logged]));
});

/** A change of a team's section with so many services, of some 500 bytes each. */
function section(services: number): PutSection {
  const service =
    "{ slots_per_server: 6, connections_per_server: 300, drain_limit_s: 60, classes: { lookup: { priority: patient, deadline_ms: 5000, repeatable: true } }, routes: [{ path: /, class: lookup }] }";
  const lines = Array.from(
    { length: services },
    (_, i) => `  alloc-${i}: ${service}\n`,
  );
  const text = `services:\n${lines.join("") || "  {}"}`;
  return putSection("alloc", { actor: ALLOC_ACTOR, text });
}

// Failure: sections of half a megabyte each had no bound together with the rest.
test("a section is admitted if entries can be sent the configuration with it", () => {
  const registry = new Registry();
  registry.apply(putSection("system", { actor: SYSTEM_ACTOR }));
  registry.apply(ALLOC);
  const large = section(900);
  const order = put([route("a", 1, 2 * LARGE)]);
  assert.ok(isAdmitted(registry, large, () => []));
  assert.ok(!isAdmitted(registry, large, () => [order]));
  assert.ok(!isAdmitted(registry, order, () => [large]));
  assert.ok(isAdmitted(registry, section(0), () => [order]));
  // A change that was answered gets the same answer, however full it is by then.
  registry.apply(section(900));
  registry.apply(putSection("alloc", { actor: ALLOC_ACTOR, baseRevision: 1 }));
  assert.ok(isAdmitted(registry, section(900), () => [order]));
});
