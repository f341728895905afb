import assert from "node:assert/strict";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Writable } from "node:stream";
import { test } from "node:test";
import { Cli } from "clipanion";
import { formatAddress, SystemClock } from "#model";
import {
  CHANGE_ID,
  SYSTEM_TEXT,
  TestControlHost,
} from "../operators/fixtures.ts";
import { COMMANDS, createProgram } from "./program.ts";

const folder = mkdtempSync(join(tmpdir(), "mangobank-cli-"));

function file(name: string, text: string): string {
  const path = join(folder, name);
  writeFileSync(path, text);
  return path;
}

const SYSTEM_KEY = file("system.key", "system-secret\n");
const SYSTEM_FILE = file("system.yaml", SYSTEM_TEXT);

class TextSink extends Writable {
  text = "";

  override _write(chunk: Buffer, _: string, done: () => void) {
    this.text += chunk.toString();
    done();
  }
}

async function run(...args: string[]) {
  const [stdout, stderr] = [new TextSink(), new TextSink()];
  const started: string[] = [];
  const code = await createProgram().run(args, {
    ...Cli.defaultContext,
    colorDepth: 1,
    stdout,
    stderr,
    clock: new SystemClock(),
    roles: {
      entry: async ({ id }) => started.push(`entry ${id}`) - 1,
      control: async ({ id }) => started.push(`control ${id}`) - 1,
    },
  });
  return { code, out: stdout.text, log: stderr.text, started };
}

async function remoteOptions(host: TestControlHost, key = SYSTEM_KEY) {
  const control = formatAddress(await host.listen());
  return ["--control", control, "--credential-file", key, "--timeout-s", "1"];
}

test("each subcommand has a help text", () => {
  for (const { usage, paths } of COMMANDS) {
    const name = paths[0]?.join(" ");
    assert.ok(usage.description && usage.category, name);
    assert.match(usage.details ?? "", /[Ee]xit codes/i, name);
  }
});

test("check prints each fault with its file and line", async () => {
  const bad = file("alloc.yaml", "services: 1\nother: 2\n");
  const { code, out } = await run("check", SYSTEM_FILE, bad);
  assert.equal(code, 2);
  assert.deepEqual(out.split("\n"), [
    `${bad}:1: services: invalid_value: expected a mapping of at most 2000 names, found 1`,
    `${bad}:2: other: unknown_key: expected a mapping with keys among services, stops`,
    "",
  ]);
});

test("check validates sections against each other if system is given", async () => {
  const strayStop = file(
    "stray.yaml",
    "stops: { a: { service: x, servers: [y], at: 2026-12-04T02:00:00Z } }",
  );
  assert.equal((await run("check", strayStop)).code, 0);
  const { code, out } = await run("check", "--json", strayStop, SYSTEM_FILE);
  assert.equal(code, 2);
  const { faults } = JSON.parse(out);
  assert.deepEqual(
    faults.map(({ type }: { type: string }) => type),
    ["section_without_owner", "unknown_service"],
  );
});

test("put, get, history and document work on a section", async () => {
  const options = await remoteOptions(new TestControlHost());
  const put = ["put", "system", SYSTEM_FILE, "--revision", "0"];
  const { code, out } = await run(...put, ...options);
  assert.equal(code, 0);
  assert.match(out, /^accepted: system is at revision 1/);
  const got = await run("get", "system", ...options);
  assert.equal(got.out, SYSTEM_TEXT);
  assert.match(got.log, /system is at revision 1/);
  const history = await run("history", "system", ...options);
  assert.match(history.out, /^REVISION.*\n1 {9}1 /);
  const document = await run("document", "--json", ...options);
  assert.equal(JSON.parse(document.out).document.revision, 1);
});

test("status lists the lagging hosts and since when they lag", async () => {
  const options = await remoteOptions(new TestControlHost());
  await run("put", "system", SYSTEM_FILE, "--revision", "0", ...options);
  const { code, out } = await run("status", ...options);
  assert.equal(code, 0);
  assert.match(out, /in force +not everywhere/);
  assert.match(out, /\ne1 +- +0 +2026-12-04T02:00:00.000Z\n/);
});

const FAILURES = [
  {
    name: "a conflict",
    args: ["put", "system", SYSTEM_FILE, "--revision", "7"],
    code: 3,
  },
  {
    name: "another team's credential",
    args: ["status"],
    key: file("wrong.key", "guess"),
    code: 4,
  },
  { name: "a missing section", args: ["get", "alloc"], code: 7 },
  { name: "a failure of the host", args: ["servers"], code: 1 },
  {
    name: "a wrong revision",
    args: ["put", "a", SYSTEM_FILE, "--revision", "x"],
    code: 1,
  },
  {
    name: "a missing file",
    args: ["put", "a", "/nowhere", "--revision", "0"],
    code: 1,
  },
  { name: "a wrong address", args: ["members", "add", "c2", "c2"], code: 1 },
];

for (const { name, args, key, code } of FAILURES) {
  test(`the exit code is ${code} for ${name}`, async () => {
    const result = await run(
      ...args,
      ...(await remoteOptions(new TestControlHost(), key)),
    );
    assert.equal(result.code, code);
  });
}

test("after an unknown result, put prints the change id for a retry", async () => {
  const host = new TestControlHost();
  host.submitFault = { type: "result_unknown" };
  const options = await remoteOptions(host);
  const put = ["put", "system", SYSTEM_FILE, "--revision", "0"];
  const id = ["--change-id", CHANGE_ID];
  const { code, log } = await run(...put, ...id, ...options);
  assert.equal(code, 6);
  assert.match(log, new RegExp(`--change-id ${CHANGE_ID}`));
});

test("without a quorum, reads exit with 5 unless they are stale", async () => {
  const host = new TestControlHost();
  host.readFault = { type: "no_quorum" };
  const options = await remoteOptions(host);
  assert.equal((await run("status", ...options)).code, 5);
  assert.equal((await run("status", "--stale", ...options)).code, 0);
});

test("members are listed, added and removed", async () => {
  const options = await remoteOptions(new TestControlHost());
  const added = await run("members", "add", "c2", "127.0.0.1:9", ...options);
  assert.match(added.out, /\nc2 +voter +127\.0\.0\.1:9\n/);
  await run("members", "remove", "c2", ...options);
  const listed = await run("members", ...options);
  assert.doesNotMatch(listed.out, /c2/);
});

test("a role does not start with invalid settings", async () => {
  const bad = file("bad.yaml", "id: e1\n");
  const refused = await run("entry", "--settings", bad);
  assert.equal(refused.code, 2);
  assert.deepEqual(refused.started, []);
  assert.match(refused.log, /bad\.yaml:1: cluster: missing_key/);
  const good = "examples/daugava/settings/entry-01.yaml";
  const accepted = await run("entry", "--settings", good);
  assert.deepEqual(accepted.started, ["entry entry-01"]);
});

const CALL_LINE = JSON.stringify({
  time: "2026-12-04T00:00:01.000Z",
  message: "call",
  service: "alloc",
  class: "lookup",
  outcome: "not-run",
  code: "queue_full",
  ms: 1,
});

test("report counts lost calls by window and class", async () => {
  const log = file("entry.log", `${CALL_LINE}\nno json\n${CALL_LINE}\n`);
  const { code, out } = await run("report", log);
  assert.equal(code, 0);
  assert.match(out, /^FROM +CALLS +IN OBJECTIVE +REFUSED QUEUE FULL$/m);
  assert.match(out, /^2026-12-04T00:00:00.000Z +2 +- +2$/m);
  assert.match(out, /^alloc lookup +2 +- +2$/m);
});

test("report prints why it has no result", async () => {
  const empty = file("empty.log", "");
  const missing = join(folder, "missing.log");
  const cases = [
    { args: [empty], code: 7, message: /no line tells of a call/ },
    { args: [missing], code: 1, message: /no such file/ },
    { args: ["--window-s", "0", empty], code: 2, message: /--window-s/ },
  ];
  for (const { args, code, message } of cases) {
    const result = await run("report", ...args);
    assert.equal(result.code, code, result.log);
    assert.match(result.log, message);
  }
});
