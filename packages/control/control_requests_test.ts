import assert from "node:assert/strict";
import { test } from "node:test";
import { err, ok, type Result } from "neverthrow";
import { MAX_COMMAND_BYTES, type SubmitFault } from "#agreement";
import {
  diffConfigurations,
  EMPTY_CONFIGURATION,
  withoutCredentials,
} from "#configuration";
import { SystemClock } from "#model";
import {
  type Item,
  type PutItems,
  Registry,
  type RegistryReply,
} from "#registry";
import { ConsolaLogger, type Logger, SilentLogger } from "#telemetry";
import { encodeFrame } from "#wire";
import { encodeCbor } from "../storage/codec.ts";
import type { ControlProcess } from "./control_process.ts";
import { ControlRequests } from "./control_requests.ts";

function service(name: string, version: number): Item {
  const service = { name, healthPath: "/health", connectionsPerServer: 260 };
  const content = { kind: "service", service } as const;
  return { kind: "service", name, version, content, source: name };
}

function route(name: string, version: number, target: string): Item {
  const route = {
    name,
    host: "a.example",
    pathPrefix: `/${name}/`,
    repeatable: true,
    timeoutMs: 2_000,
    targetMs: 600,
    attempts: 2,
    rank: 2,
    targets: [{ service: target, weight: 1 }],
  };
  const content = { kind: "route", route } as const;
  return { kind: "route", name, version, content, source: name };
}

/** A control host that applies commands at once. */
class LocalControl {
  readonly registry = new Registry();
  /** Commands that others have logged, and this host applies with a read. */
  readonly late: PutItems[] = [];

  confirmRead() {
    for (const command of this.late.splice(0)) this.registry.apply(command);
    return Promise.resolve(ok(1));
  }

  submit(command: PutItems): Promise<Result<RegistryReply, SubmitFault>> {
    const { length: bytes } = encodeCbor(command);
    return Promise.resolve(
      bytes > MAX_COMMAND_BYTES
        ? err({ type: "command_too_large", bytes })
        : ok(this.registry.apply(command)),
    );
  }
}

function put(
  upserts: readonly Item[],
  dropped: readonly Item[] = [],
): PutItems {
  const removals = dropped.map(({ kind, name, version }) => ({
    kind,
    name,
    version,
  }));
  return { type: "put_items", upserts, removals, at: 1 };
}

function createHost(logger: Logger = new SilentLogger()) {
  const control = new LocalControl();
  const requests = new ControlRequests({
    control: control as unknown as ControlProcess,
    clock: new SystemClock(),
    logger,
  });
  control.registry.apply(put([service("alloc", 1), service("report", 1)]));
  control.registry.apply(put([], [service("report", 9)]));
  return { control, requests };
}

const LATE_CHANGE = put([service("report", 8), route("export", 8, "report")]);

// An older change that arrived late was acknowledged, and its route answered 404
// on every host, since a newer change had dropped its service.
test("a late change with a route to a dropped service is refused whole", async () => {
  const { control, requests } = createHost();
  const reply = await requests.putItems(LATE_CHANGE);
  assert.ok(reply.type === "invalid", reply.type);
  assert.deepEqual(reply.problems, [
    "route export: expected a service that is configured, found report",
  ]);
  const names = control.registry.items().map(({ name }) => name);
  assert.deepEqual(names, ["alloc"]);
});

// Guards against a refusal by a host that lags behind the others.
test("a change is taken if the service was added again meanwhile", async () => {
  const { control, requests } = createHost();
  control.late.push(put([service("report", 12)]));
  const reply = await requests.putItems(LATE_CHANGE);
  assert.equal(reply.type, "held");
});

// An operator's patch named only its first fault, and a log line held names of
// any length.
test("a refused change names each fault, bounded in number and length", async () => {
  const lines: string[] = [];
  const stream = { write: (line: string) => lines.push(line) > 0 };
  const { requests } = createHost(new ConsolaLogger({ stream, json: true }));
  const name = (index: number) => `${index}-${"x".repeat(500)}`;
  const routes = Array.from({ length: 200 }, (_, index) =>
    route(name(index), 1, "y".repeat(500)),
  );
  const reply = await requests.putItems(put(routes));
  assert.ok(reply.type === "invalid", reply.type);
  assert.equal(reply.problems.length, 21);
  assert.match(reply.problems[1] ?? "", /^route 1-x+… \(502 characters\)/);
  assert.equal(reply.problems.at(-1), "180 further problems");
  assert.equal(lines.length, 1);
  assert.match(lines[0] ?? "", /items refused.*expected a service/);
  assert.ok((lines[0] ?? "").length < 20_000);
});

/** Routes to the service `alloc`, of about 100 KB as a part of a change. */
function longRoutes(prefix: string, count: number, version = 1): Item[] {
  return Array.from({ length: count }, (_, index) => {
    const item = route(`${prefix}${index}`, version, "alloc");
    assert.ok(item.content.kind === "route");
    const pathPrefix = `/${prefix}${index}/${"x".repeat(100_000)}`;
    const content = {
      kind: "route",
      route: { ...item.content.route, pathPrefix },
    };
    return { ...item, content } as Item;
  });
}

/** Whether a restarted entry can get the configuration in one message. */
function isDeliverable({ registry }: LocalControl): boolean {
  const configuration = withoutCredentials(registry.configuration());
  const change = diffConfigurations(EMPTY_CONFIGURATION, configuration);
  const { version } = configuration;
  return encodeFrame("state", { version, change, ageMs: 1 }).isOk();
}

// Failure: the operator is told to send the change again, without end.
test("a change that no log record can carry is refused", async () => {
  const { control, requests } = createHost();
  const reply = await requests.putItems(put(longRoutes("a", 9)));
  assert.ok(reply.type === "invalid", reply.type);
  assert.match(reply.problems[0] ?? "", /bytes/);
  assert.deepEqual(
    control.registry.items().map(({ name }) => name),
    ["alloc"],
  );
});

// Failure: each change fits, and all of them together fit into no message, so
// that the links to all entries are closed again and again.
test("a change is refused if entries could not get the whole configuration", async () => {
  const { control, requests } = createHost();
  const replies: string[] = [];
  for (const prefix of ["a", "b", "c", "d", "e", "f", "g", "h"]) {
    const change = put(longRoutes(prefix, 2));
    replies.push((await requests.putItems(change)).type);
  }
  assert.equal(replies[0], "held");
  assert.equal(replies.at(-1), "invalid");
  assert.ok(isDeliverable(control));
  // What was taken is taken again, and what makes room is taken.
  const again = await requests.putItems(put(longRoutes("a", 2)));
  assert.equal(again.type, "held");
  const smaller = put([route("a0", 2, "alloc")]);
  assert.equal((await requests.putItems(smaller)).type, "held");
  const removal = put([], longRoutes("b", 2, 3));
  assert.equal((await requests.putItems(removal)).type, "held");
  const added = await requests.putItems(put(longRoutes("z", 2)));
  assert.equal(added.type, "held");
});

// Failure: what a former build took can't be made smaller step by step.
test("a configuration that is too large already may become smaller", async () => {
  const { control, requests } = createHost();
  control.registry.apply(put(longRoutes("a", 30)));
  assert.equal(isDeliverable(control), false);
  const removal = put([], longRoutes("a", 1, 3));
  assert.equal((await requests.putItems(removal)).type, "held");
  const grown = await requests.putItems(put([route("more", 1, "alloc")]));
  assert.equal(grown.type, "invalid");
});
