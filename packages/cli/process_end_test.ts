import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { reservePorts } from "../demo/ports.ts";

const HOST = "127.0.0.1";

/** Makes a process reject when it is told to on its standard input. */
const REJECT_ON_REQUEST = `data:text/javascript,${encodeURIComponent(`
  process.stdin.once("data", async () => { throw new TypeError("on request"); });
`)}`;

for (const role of ["entry", "control"] as const) {
  // Guards against processes that end, of which only a bare stack tells why.
  test(`a line tells why a role ended: ${role}`, {
    timeout: 60_000,
  }, async () => {
    const ports = await reservePorts();
    const address = () => `{ host: ${HOST}, port: ${ports.take()} }`;
    const folder = mkdtempSync(join(tmpdir(), "mangobank-end-"));
    const settings = join(folder, "settings.yaml");
    const peer = ports.take();
    const lines = [
      `id: ${role}-1`,
      "cluster: test",
      "data_centre: riga-a",
      `http: ${address()}`,
      `peer: { host: ${HOST}, port: ${peer} }`,
      ...(role === "entry"
        ? [
            `metrics: ${address()}`,
            `control: [${address()}]`,
            `handover: ${address()}`,
          ]
        : [
            "data_folder: data",
            `members: [{ id: control-1, host: ${HOST}, port: ${peer} }]`,
            `system_credential_sha256: "${"0".repeat(64)}"`,
          ]),
    ];
    writeFileSync(settings, lines.join("\n"));
    const child = spawn(process.execPath, [
      ...["--import", REJECT_ON_REQUEST, "--import", "tsx"],
      ...["packages/cli/main.ts", role, "--settings", settings],
    ]);
    try {
      let output = "";
      child.stderr.on("data", (part) => {
        output += part;
      });
      const ended = once(child, "close");
      while (child.exitCode === null && !output.includes("started"))
        await delay(20);
      child.stdin.write("reject\n");
      assert.deepEqual(await ended, [1, null], output);
      const line = output
        .split("\n")
        .find((text) => text.includes("process ends by an error"));
      const { level, host, kind, error, ...rest } = JSON.parse(line ?? "{}");
      assert.deepEqual(
        [level, host, rest.role, kind, error?.name, error?.message],
        ["error", `${role}-1`, role, "rejection", "TypeError", "on request"],
      );
    } finally {
      child.kill("SIGKILL");
      rmSync(folder, { recursive: true, force: true });
      ports.release();
    }
  });
}
