/**
 * A small deployment on loopback addresses: the project's own programs as separate
 * processes, started with the commands of the deploy file, and stand-ins for workers,
 * the operator and clients that follow the users' pages.
 */
import { spawn } from "node:child_process";
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { Agent, createServer, request as httpRequest } from "node:http";
import { createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const PORTS = {
  frontend: 8144,
  ready: 8140,
  control: 8146,
  directory: 8143,
  internal: 7660,
};
const BASE_PORTS = [8140, 8143, 8144, 8146, 7660, 7661, 7662, 9464, 9465];
const HEARTBEAT_MS = 1_000;
const WAIT_MS = 25_000;

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/** Appends lines to `record.txt` in the folder of the case. */
export class Record {
  #file;
  #startedAt = performance.now();

  constructor(caseUrl) {
    this.#file = join(dirname(fileURLToPath(caseUrl)), "record.txt");
    writeFileSync(this.#file, "");
  }

  line(text) {
    const seconds = ((performance.now() - this.#startedAt) / 1_000).toFixed(3);
    appendFileSync(this.#file, `${seconds} ${text}\n`);
  }
}

/** The words of a role's `run` in the deploy file. */
function runWords(role) {
  const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1] ?? "";
  const run = /^run = "(.*)"$/m.exec(section)?.[1];
  if (!run) throw new Error(`no command for ${role} in the deploy file`);
  return run.split(" ");
}

function canBind(host, port) {
  return new Promise((resolve) => {
    const server = createTcpServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** A prefix of loopback addresses on which all ports are free. */
async function freePrefix(count) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const second = 20 + Math.floor(Math.random() * 200);
    const third = Math.floor(Math.random() * 250);
    const prefix = `127.${second}.${third}`;
    const checks = [];
    for (let index = 0; index < count; index++)
      for (const port of BASE_PORTS)
        checks.push(canBind(`${prefix}.${index + 11}`, port));
    if ((await Promise.all(checks)).every(Boolean)) return prefix;
  }
  throw new Error("no free loopback addresses");
}

/** Runs the project's processes of several hosts. */
export class Site {
  ports = PORTS;
  ips = [];
  output = [];
  /** Ends of processes that the case did not ask for. */
  exits = [];
  #folder = mkdtempSync(join(tmpdir(), "mangobank-review-"));
  #processes = new Map();
  #settings;
  #controls;
  #seedControls;
  #record;

  /**
   * `hosts`: number of machines; the first `controls` have a disk and run control.
   * `settings`: further lines of all settings files.
   */
  static async create({
    hosts,
    controls,
    settings = [],
    record,
    seedControls,
  }) {
    const site = new Site();
    const prefix = await freePrefix(hosts);
    for (let index = 0; index < hosts; index++)
      site.ips.push(`${prefix}.${index + 11}`);
    site.#controls = controls;
    // Addresses that the settings name as seeds, as a proxy's; default: the hosts'.
    site.#seedControls = seedControls;
    site.#settings = settings;
    site.#record = record;
    process.once("exit", () => site.#killAll());
    for (const signal of ["SIGINT", "SIGTERM"])
      process.once(signal, () => process.exit(NOT_RUN));
    return site;
  }

  get controlIps() {
    return this.ips.slice(0, this.#controls);
  }

  start(ip, role, { bootstrap = false, extra = [] } = {}) {
    const folder = join(this.#folder, ip);
    mkdirSync(folder, { recursive: true });
    const file = join(folder, `${role}.conf`);
    writeFileSync(file, this.#settingsText(ip, role, { bootstrap, extra }));
    const [program, ...words] = runWords(role);
    const child = spawn(
      program === "node" ? process.execPath : program,
      words,
      {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: folder, MANGOBANK_BOOT: file },
      },
    );
    const key = `${ip} ${role}`;
    const collect = (bytes) => {
      this.output.push(`${key} ${bytes}`);
      if (this.output.length > 20_000) this.output.splice(0, 10_000);
    };
    child.stdout.on("data", collect);
    child.stderr.on("data", collect);
    child.once("exit", (code, signal) => {
      if (this.#processes.get(key) !== child) return;
      this.exits.push({ ip, role, code, signal });
      this.#record.line(`ENDED BY ITSELF ${key} code ${code} signal ${signal}`);
    });
    this.#processes.set(key, child);
    this.#record.line(`started ${key} pid ${child.pid}`);
    return child;
  }

  pid(ip, role) {
    return this.#processes.get(`${ip} ${role}`)?.pid;
  }

  signal(ip, role, signal) {
    this.#record.line(`${signal} to ${ip} ${role}`);
    this.#processes.get(`${ip} ${role}`)?.kill(signal);
  }

  /** Sends a signal that ends the process, and waits for its end. */
  async stop(ip, role, signal = "SIGKILL") {
    const key = `${ip} ${role}`;
    const child = this.#processes.get(key);
    if (!child) return undefined;
    this.#processes.delete(key);
    if (child.exitCode !== null || child.signalCode !== null) return undefined;
    this.#record.line(`${signal} to ${key}`);
    const ended = new Promise((resolve) => child.once("exit", resolve));
    child.kill(signal);
    return ended;
  }

  /** Resident memory of a process in bytes; undefined if it has ended. */
  residentBytes(ip, role) {
    try {
      const status = readFileSync(`/proc/${this.pid(ip, role)}/status`, "utf8");
      const kilobytes = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1];
      return kilobytes === undefined ? undefined : Number(kilobytes) * 1_024;
    } catch {
      return undefined;
    }
  }

  dataFolder(ip) {
    return join(this.#folder, ip, "data");
  }

  #settingsText(ip, role, { bootstrap, extra }) {
    const index = this.ips.indexOf(ip);
    const isControl = index < this.#controls;
    const seeds =
      this.#seedControls ??
      this.controlIps.slice(0, 3).map((seed) => `${seed}:${PORTS.control}`);
    const serves = role === "control" ? "control_plane" : "frontend,directory";
    return [
      `self.node_name=host-${index}`,
      `self.role=${role}`,
      "self.instance_class=frontend",
      `self.serves=${serves}`,
      `self.ip=${ip}`,
      `self.zone=zone-${index % 2}`,
      "self.region=north",
      `self.in_failure_budget=${isControl}`,
      `self.bootstrap=${bootstrap}`,
      ...(isControl ? [`self.data_dir=${this.dataFolder(ip)}`] : []),
      ...(role === "entry"
        ? [
            `network.listen.frontend=${ip}:${PORTS.frontend}`,
            `network.listen.ready=${ip}:${PORTS.ready}`,
            `network.listen.directory=${ip}:${PORTS.directory}`,
          ]
        : []),
      ...(role === "control"
        ? [`network.listen.control=${ip}:${PORTS.control}`]
        : []),
      `network.internal_ports=${PORTS.internal},${PORTS.internal + 15}`,
      `network.seeds=${seeds.join(",")}`,
      "network.zones.zone-0=north",
      "network.zones.zone-1=north",
      "provider.discovery=registration",
      "provider.entry=directory",
      "provider.heartbeat_s=1.5",
      "provider.config_mode=parts",
      "terms.bounds.seed_lag_s=3",
      "terms.bounds.reuse_after_s=2",
      "terms.bounds.contact_window_s=3",
      "terms.bounds.ack_s=4",
      "terms.bounds.sync_s=4",
      "terms.bounds.drain_s=2",
      "terms.bounds.grace_s=6",
      "terms.bounds.loss_slack_s=0.2",
      "terms.bounds.config_apply_s=2",
      "terms.bounds.revert_slack_s=0.25",
      "terms.bounds.max_stretch_s=5",
      "terms.bounds.retry_budget_ratio=0.2",
      "terms.bounds.budget_window_s=10",
      "terms.bounds.retry_budget_extra=66",
      "terms.bounds.recovery_s=15",
      "terms.bounds.ttl_max_s=5",
      ...this.#settings,
      ...extra,
      "",
    ].join("\n");
  }

  /** A call of the operator or a worker; undefined without an answer. */
  async control(ip, path, { method = "GET", body, timeoutMs = 1_500 } = {}) {
    return callJson(ip, PORTS.control, { path, method, body, timeoutMs });
  }

  /** Sends a change to the control hosts in turn until one acknowledges it. */
  async patch(body, { tries = 60, ips = this.controlIps } = {}) {
    for (let attempt = 0; attempt < tries; attempt++) {
      const ip = ips[attempt % ips.length];
      const answer = await this.control(ip, "/mangobank/Config.Patch", {
        method: "POST",
        body,
      });
      if (answer?.status === 200) return performance.now();
      if (answer && answer.status >= 400 && answer.status < 500)
        throw new Error(`the change is refused: ${answer.text}`);
      await delay(100);
    }
    throw new Error("the change is not acknowledged");
  }

  async waitFor(what, condition, ms = WAIT_MS) {
    const end = performance.now() + ms;
    while (!(await condition())) {
      if (performance.now() > end) throw new Error(`timed out: ${what}`);
      await delay(50);
    }
  }

  #killAll() {
    for (const child of this.#processes.values()) child.kill("SIGKILL");
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async close() {
    const keys = [...this.#processes.keys()];
    await Promise.all(
      keys.map((key) => {
        const [ip, role] = key.split(" ");
        return this.stop(ip, role, "SIGKILL");
      }),
    );
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

function callJson(host, port, { path, method, body, timeoutMs }) {
  return new Promise((resolve) => {
    const text = body === undefined ? undefined : JSON.stringify(body);
    const outgoing = httpRequest(
      {
        host,
        port,
        path,
        method,
        agent: false,
        headers: {
          ...(text !== undefined && {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(text),
          }),
        },
      },
      (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.once("end", () =>
          resolve({
            status: response.statusCode,
            headers: response.headers,
            text: Buffer.concat(chunks).toString(),
          }),
        );
        response.once("error", () => resolve(undefined));
      },
    );
    const timer = setTimeout(() => outgoing.destroy(), timeoutMs);
    outgoing.once("error", () => resolve(undefined));
    outgoing.once("close", () => {
      clearTimeout(timer);
      resolve(undefined);
    });
    outgoing.end(text);
  });
}

/** A request of a client; undefined without a complete answer. */
export function callEntry(site, ip, request) {
  const {
    path,
    method = "GET",
    id,
    body,
    headers = {},
    deadlineMs = 3_000,
    host = "a.example",
    agent = false,
  } = request;
  return new Promise((resolve) => {
    const outgoing = httpRequest(
      {
        host: ip,
        port: site.ports.frontend,
        path,
        method,
        agent,
        headers: {
          host,
          "mangobank-request-id": id,
          "mangobank-request-deadline": String(deadlineMs),
          ...(body !== undefined && { "content-length": body.length }),
          ...headers,
        },
      },
      (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.once("end", () =>
          resolve({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks),
            complete: response.complete,
          }),
        );
        response.once("error", () => resolve(undefined));
      },
    );
    const timer = setTimeout(() => outgoing.destroy(), deadlineMs + 2_000);
    outgoing.once("error", () => resolve(undefined));
    outgoing.once("close", () => {
      clearTimeout(timer);
      resolve(undefined);
    });
    outgoing.end(body);
  });
}

export { Agent };

/** A sound worker of one service. */
export class Worker {
  runs = [];
  born = Date.now();
  state = "ready";
  #sequence = 0;
  #running = 0;
  #server;
  #timer;

  /**
   * `work(request, body)` resolves with `{ status, body }` of a run; `capacity` is
   * what the worker says.
   */
  constructor({ id, service, zone = "zone-0", capacity = 6, work, record }) {
    Object.assign(this, { id, service, zone, capacity, work, record });
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 10_000;
  }

  async listen(host = "127.0.0.1") {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    const { address, port } = this.#server.address();
    this.address = `${address}:${port}`;
  }

  /** Sends heartbeats to the control hosts in turn. */
  register(site) {
    let turn = 0;
    const beat = async () => {
      this.#sequence += 1;
      for (let attempt = 0; attempt < site.controlIps.length; attempt++) {
        const ip = site.controlIps[turn % site.controlIps.length];
        const answer = await site.control(
          ip,
          `/mangobank/Instances.Heartbeat/${this.id}`,
          { method: "POST", body: this.#heartbeat(), timeoutMs: 1_000 },
        );
        if (answer && answer.status < 300) return true;
        turn += 1;
      }
      return false;
    };
    void beat();
    this.#timer = setInterval(beat, HEARTBEAT_MS);
    this.beat = beat;
  }

  #heartbeat() {
    const { address, born, service, zone, capacity, state } = this;
    return {
      address,
      born,
      info: { service, version: "v1", zone, capacity },
      status: { state, sequence: this.#sequence, warmup_remaining_s: 0 },
    };
  }

  close() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  get #load() {
    const running = Math.min(this.#running, this.capacity);
    const waiting = Math.max(0, this.#running - this.capacity);
    return `${running},${waiting},${this.capacity},100`;
  }

  async #handle(request, response) {
    const { headers, url, method } = request;
    if (url === "/health") {
      response.setHeader("Mangobank-Instance-Id", this.id);
      response.setHeader("Mangobank-Server-Load", this.#load);
      response.writeHead(this.state === "ready" ? 200 : 503).end();
      return;
    }
    const id = headers["mangobank-request-id"];
    if (id !== undefined) response.setHeader("Mangobank-Request-Id", id);
    response.setHeader("Mangobank-Server-Load", this.#load);
    const target = headers["mangobank-target-instance"];
    if (target !== undefined && target !== this.id) {
      response.setHeader("Mangobank-Not-Executed", "1");
      response.writeHead(421).end();
      return;
    }
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const run = { id, method, url, headers, body, at: performance.now() };
    this.runs.push(run);
    this.record?.line(`worker ${this.id} runs ${id} ${method} ${url}`);
    this.#running += 1;
    const result = await this.work(run, request, response);
    this.#running -= 1;
    if (!result || response.destroyed) return;
    response.setHeader("Mangobank-Response-Signature", `signed-${this.id}`);
    response.setHeader("Content-Length", result.body.length);
    response.writeHead(result.status ?? 200);
    response.end(result.body);
  }
}

const item = (entry_type, name, spec, version = "r1") => ({
  entry_type,
  metadata: { ...(name && { name }), version },
  spec,
});

export const items = {
  service: (name, version) =>
    item(
      "services",
      name,
      {
        health_check_path: "/health",
        max_connections: 900,
        protocol: "h1",
        tls: false,
      },
      version,
    ),
  route: (name, spec, version) =>
    item(
      "routes",
      name,
      {
        hostname: "a.example",
        path_prefix: `/${name}/`,
        type: "safe",
        timeout_s: 8,
        target_latency_s: 2,
        priority: 1,
        attempts: 2,
        ...spec,
      },
      version,
    ),
  limits: (spec = {}, version = "r1") =>
    item(
      "limits",
      undefined,
      {
        max_header_bytes: 16_384,
        max_body_bytes: 67_108_864,
        header_timeout_s: 3,
        idle_timeout_s: 15,
        ...spec,
      },
      version,
    ),
  tenant: (name, spec, version) => item("tenants", name, spec, version),
};

/** Runs a case, with a bound on its time, and exits with its result. */
export async function runCase(run, { record, limitMs = 110_000 }) {
  const timer = setTimeout(() => {
    record.line("the case took too long");
    process.exit(NOT_RUN);
  }, limitMs);
  try {
    const isBroken = await run();
    clearTimeout(timer);
    record.line(isBroken ? "RESULT: the rule was broken" : "RESULT: held");
    process.exit(isBroken ? BROKEN : HELD);
  } catch (error) {
    record.line(`could not run: ${error.stack}`);
    process.exit(NOT_RUN);
  }
}
