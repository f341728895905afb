import assert from "node:assert/strict";
import { test } from "node:test";
import { ok } from "neverthrow";
import { SystemClock } from "#model";
import { type Item, type PutItems, Registry } from "#registry";
import { ConsolaLogger, type Logger, SilentLogger } from "#telemetry";
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

  submit(command: PutItems) {
    return Promise.resolve(ok(this.registry.apply(command)));
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
  assert.ok(reply.type === "invalid");
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
  const name = (index: number) => `${index}-${"x".repeat(90_000)}`;
  const routes = Array.from({ length: 200 }, (_, index) =>
    route(name(index), 1, "y".repeat(90_000)),
  );
  const reply = await requests.putItems(put(routes));
  assert.ok(reply.type === "invalid");
  assert.equal(reply.problems.length, 21);
  assert.match(reply.problems[1] ?? "", /^route 1-x+… \(90002 characters\)/);
  assert.equal(reply.problems.at(-1), "180 further problems");
  assert.equal(lines.length, 1);
  assert.match(lines[0] ?? "", /items refused.*expected a service/);
  assert.ok((lines[0] ?? "").length < 20_000);
});
