/**
 * A small deployment on loopback addresses for the cases from 11 on: the project's own
 * programs with the commands of the deploy file, and stand-ins for the platform, the
 * operator, workers and clients. Each machine has a loopback address of its own, and all
 * machines use the same ports, as the platform's pages say.
 */
import { spawn } from "node:child_process";
import { randomBytes } from "node:crypto";
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const ROOT = dirname(dirname(dirname(fileURLToPath(import.meta.url))));
/** Ports of a machine, relative to the first one. */
const PORTS = { ready: 0, directory: 3, frontend: 4, control: 6, internal: 20 };
const INTERNAL_PORTS = 15;
/** A caller of the control plane moves on after this time without an answer. */
const CONTROL_TIMEOUT_MS = 1_000;
const HEARTBEAT_MS = 1_500;
/** Time in which the platform starts a process again after its end. */
const RESTART_MS = 500;

/** Writes what was sent, answered and run to the record of a case. */
export class Recording {
  #path;
  #startedAt = performance.now();

  constructor(folder) {
    this.#path = join(folder, "record.txt");
    writeFileSync(this.#path, "");
  }

  line(text) {
    const seconds = ((performance.now() - this.#startedAt) / 1_000).toFixed(3);
    appendFileSync(this.#path, `${seconds.padStart(8)} s  ${text}\n`);
  }
}

/** The words of a role's command in the deploy file. */
function commandOf(role) {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const section = text
    .split(/^\[/m)
    .find((part) => part.startsWith(`roles.${role}]`));
  const run = /^run = "(.+)"$/m.exec(section ?? "")?.[1];
  if (run === undefined) throw new Error(`the deploy file has no role ${role}`);
  return run.split(" ");
}

/** Whether a port can be used on an address. */
function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen({ host, port }, () => server.close(() => resolve(true)));
  });
}

async function findFirstPort(hosts) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const first = 20_000 + Math.floor(Math.random() * 10_000);
    const offsets = [
      ...Object.values(PORTS),
      PORTS.internal + 1,
      PORTS.internal + 2,
    ];
    const checks = hosts.flatMap((host) =>
      offsets.map((o) => isFree(host, first + o)),
    );
    if ((await Promise.all(checks)).every(Boolean)) return first;
  }
  throw new Error("found no free ports");
}

/** The machines of the deployment and their processes. */
export class Site {
  machines = [];
  first = 0;
  folder = mkdtempSync(join(tmpdir(), "mangobank-review-"));
  #processes = new Map();
  #record;
  #isClosing = false;
  /** Called when a process ends that the case did not end. */
  onOwnEnd = () => undefined;
  ownEnds = [];

  constructor(record) {
    this.#record = record;
  }

  /** Starts machines that run an entry; the first `controls` of them have a disk and control. */
  async start({ controls, machines }) {
    const subnet = `127.${20 + (process.pid % 200)}.${Math.floor(Math.random() * 250)}`;
    for (let i = 0; i < machines; i++) {
      const roles = i < controls ? ["control", "entry"] : ["entry"];
      this.machines.push({
        ip: `${subnet}.${i + 1}`,
        zone: `zone-${i % 3}`,
        roles,
      });
    }
    this.first = await findFirstPort(this.machines.map(({ ip }) => ip));
    this.startAll({ bootstrap: true });
  }

  startAll({ bootstrap }) {
    for (const machine of this.machines) {
      for (const role of machine.roles)
        this.startProcess(machine, role, { bootstrap });
    }
  }

  port(name) {
    return this.first + PORTS[name];
  }

  get controls() {
    return this.machines.filter(({ roles }) => roles.includes("control"));
  }

  startProcess(machine, role, { bootstrap }) {
    const data = join(this.folder, `${machine.ip}-${role}`);
    mkdirSync(data, { recursive: true });
    const settings = join(this.folder, `${machine.ip}-${role}.conf`);
    writeFileSync(settings, this.#settings(machine, { role, data, bootstrap }));
    const [program, ...words] = commandOf(role);
    const executable = program === "node" ? process.execPath : program;
    const child = spawn(executable, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, MANGOBANK_BOOT: settings },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const key = `${machine.ip} ${role}`;
    let lastError = "";
    const log = join(this.folder, `${machine.ip}-${role}.log`);
    child.stdout.on("data", (text) => appendFileSync(log, text));
    child.stderr.on("data", (text) => {
      const fatal = /FATAL ERROR: .*/.exec(String(text))?.[0];
      if (fatal !== undefined) lastError = fatal;
      appendFileSync(log, text);
    });
    this.#processes.set(key, child);
    child.once("close", (code, signal) => {
      if (this.#processes.get(key) !== child) return;
      this.#processes.delete(key);
      if (this.#isClosing) return;
      const end = { machine: machine.ip, role, code, signal, lastError };
      this.ownEnds.push(end);
      this.#record.line(
        `process ${key} ended by itself: ${signal ?? code} ${lastError}`,
      );
      this.onOwnEnd(end);
      // The platform starts a process again that has ended.
      setTimeout(() => {
        if (!this.#isClosing)
          this.startProcess(machine, role, { bootstrap: false });
      }, RESTART_MS);
    });
  }

  /** Sends SIGKILL to a process that this site started. */
  kill(machine, role) {
    const key = `${machine.ip} ${role}`;
    const child = this.#processes.get(key);
    this.#processes.delete(key);
    child?.kill("SIGKILL");
  }

  killAll() {
    for (const machine of this.machines) {
      for (const role of machine.roles) this.kill(machine, role);
    }
  }

  signal(machine, role, signal) {
    this.#processes.get(`${machine.ip} ${role}`)?.kill(signal);
  }

  /** Id of a running process. */
  pid(machine, role) {
    return this.#processes.get(`${machine.ip} ${role}`)?.pid;
  }

  /** Lines of a process's log that hold a text. */
  logLines(machine, role, text) {
    const log = join(this.folder, `${machine.ip}-${role}.log`);
    return readFileSync(log, "utf8")
      .split("\n")
      .filter((line) => line.includes(text));
  }

  close() {
    this.#isClosing = true;
    for (const child of this.#processes.values()) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    this.#processes.clear();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.folder, { recursive: true, force: true });
    }
  }

  #settings({ ip, zone, roles }, { role, data, bootstrap }) {
    const hasDisk = roles.includes("control");
    const seeds = this.controls
      .slice(0, 3)
      .map((m) => `${m.ip}:${this.port("control")}`);
    const internal = this.port("internal");
    return `${[
      `self.node_name=machine-${ip}`,
      `self.role=${role}`,
      "self.instance_class=frontend",
      `self.serves=${role === "control" ? "control_plane" : "frontend,directory"}`,
      `self.ip=${ip}`,
      `self.zone=${zone}`,
      "self.region=north",
      `self.in_failure_budget=${hasDisk}`,
      `self.bootstrap=${bootstrap}`,
      ...(hasDisk ? [`self.data_dir=${data}`, "self.limits.disk_mb=64"] : []),
      "self.limits.cpu_share=0.945",
      "self.limits.cpu_speedup=1",
      "self.limits.memory_mb=350",
      "self.limits.max_fds=4100",
      "self.limits.link_mbps=1000.0",
      `network.listen.frontend=${ip}:${this.port("frontend")}`,
      `network.listen.ready=${ip}:${this.port("ready")}`,
      `network.listen.control=${ip}:${this.port("control")}`,
      `network.listen.directory=${ip}:${this.port("directory")}`,
      `network.internal_ports=${internal},${internal + INTERNAL_PORTS}`,
      `network.seeds=${seeds.join(",")}`,
      ...[0, 1, 2].map((i) => `network.zones.zone-${i}=north`),
      "provider.discovery=registration",
      "provider.entry=directory",
      "provider.heartbeat_s=1.5",
      "provider.config_mode=parts",
      "terms.contracts=base,drain,config,cost,retry,recover,health",
      "terms.fault_tolerance.machines=1",
      "terms.fault_tolerance.zones=0",
      "terms.fault_tolerance.regions=0",
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
      "terms.bounds.evacuate_s=5",
      "terms.bounds.retry_budget_ratio=0.2",
      "terms.bounds.budget_window_s=10",
      "terms.bounds.retry_budget_extra=64",
      "terms.bounds.recovery_s=15",
      "terms.bounds.ttl_max_s=5",
      "terms.bounds.probes_per_s=60",
    ].join("\n")}\n`;
  }
}

/**
 * Sends one HTTP request on a connection of its own; resolves with the status and the
 * body, or with what went wrong.
 */
export function call(options, { body, timeoutMs = CONTROL_TIMEOUT_MS } = {}) {
  return new Promise((resolve) => {
    const request = http.request({ ...options, agent: false }, (response) => {
      const parts = [];
      response.on("data", (part) => parts.push(part));
      response.on("error", (error) => finish({ error: error.message }));
      response.on("end", () =>
        finish({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(parts).toString(),
        }),
      );
    });
    const timer = setTimeout(() => {
      finish({ error: `no answer within ${timeoutMs} ms` });
      request.destroy();
    }, timeoutMs);
    const finish = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    request.on("error", (error) => finish({ error: error.message }));
    request.end(body);
  });
}

/** Sends a configuration once to one machine; see PROTOCOL, the operator's API. */
export function patchOnce(site, machine, text, { timeoutMs } = {}) {
  return call(
    {
      host: machine.ip,
      port: site.port("control"),
      method: "POST",
      path: "/mangobank/Config.Patch",
      headers: {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
      },
    },
    { body: text, timeoutMs },
  );
}

/** Sends a configuration until it has a clear answer, to one machine after the other. */
export async function patch(
  site,
  text,
  { first = 0, timeoutMs, forMs = 10_000 } = {},
) {
  const until = performance.now() + forMs;
  for (let turn = first; performance.now() < until; turn++) {
    const machine = site.controls[turn % site.controls.length];
    const answer = await patchOnce(site, machine, text, { timeoutMs });
    if (answer.status !== undefined && answer.status < 500)
      return { ...answer, machine };
    await delay(200);
  }
  return { error: "no clear answer" };
}

/** Sends an order about a zone once to one machine. */
export function orderZone(site, machine, order, zone) {
  return call({
    host: machine.ip,
    port: site.port("control"),
    method: "POST",
    path: `/mangobank/Evacuate.${order}/${zone}`,
    headers: { "content-length": 0 },
  });
}

export function getConfiguration(site, machine) {
  return call({
    host: machine.ip,
    port: site.port("control"),
    path: "/mangobank/Config.Get",
  });
}

export const serviceItem = (name, version) => ({
  entry_type: "services",
  metadata: { name, version: `r${version}` },
  spec: {
    health_check_path: "/health",
    max_connections: 260,
    protocol: "h1",
    tls: false,
  },
});

export const routeItem = (
  name,
  { version, host, prefix, service, type = "safe" },
) => ({
  entry_type: "routes",
  metadata: { name, version: `r${version}` },
  spec: {
    hostname: host,
    path_prefix: prefix,
    type,
    timeout_s: 2.5,
    target_latency_s: 1.2,
    priority: 2,
    service,
    attempts: 2,
  },
});

export const limitsItem = (version) => ({
  entry_type: "limits",
  metadata: { version: `r${version}` },
  spec: {
    max_header_bytes: 16_384,
    max_body_bytes: 67_108_864,
    header_timeout_s: 3,
    idle_timeout_s: 15,
  },
});

export const patchText = (resources) =>
  JSON.stringify({ upsert: { resources }, remove: { routes: [] } });

/** A worker that follows PROTOCOL: it answers, and announces itself at control. */
export class Worker {
  runs = [];
  #site;
  #record;
  #server;
  #sequence = 0;
  #born = Date.now();
  #running = 0;
  #isClosed = false;

  constructor(
    site,
    record,
    { id, service, zone = "zone-0", capacity = 6, workMs = 20 },
  ) {
    Object.assign(this, { id, service, zone, capacity, workMs });
    this.#site = site;
    this.#record = record;
    this.#server = http.createServer((request, response) =>
      this.#serve(request, response),
    );
  }

  async start() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve),
    );
    void this.#announce();
  }

  close() {
    this.#isClosed = true;
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #announce() {
    for (let turn = 0; !this.#isClosed; turn++) {
      const { controls } = this.#site;
      this.#sequence += 1;
      const body = JSON.stringify({
        address: `127.0.0.1:${this.#server.address().port}`,
        born: this.#born,
        info: {
          service: this.service,
          version: "v1",
          zone: this.zone,
          capacity: this.capacity,
        },
        status: {
          state: "ready",
          sequence: this.#sequence,
          warmup_remaining_s: 0,
        },
      });
      const answer = await call(
        {
          host: controls[turn % controls.length].ip,
          port: this.#site.port("control"),
          method: "POST",
          path: `/mangobank/Instances.Heartbeat/${this.id}`,
          headers: {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
          },
        },
        { body },
      );
      await delay(answer.status === 200 ? HEARTBEAT_MS : 200);
    }
  }

  async #serve(request, response) {
    for await (const _ of request.on("error", () => undefined)) {
      // The body is read and not used.
    }
    response.setHeader(
      "mangobank-server-load",
      `${this.#running},0,${this.capacity},100`,
    );
    if (request.url === "/health") {
      response.setHeader("mangobank-instance-id", this.id);
      response.end();
      return;
    }
    const id = request.headers["mangobank-request-id"];
    response.setHeader("mangobank-request-id", id ?? "");
    const target = request.headers["mangobank-target-instance"];
    if (target !== undefined && target !== this.id) {
      response.setHeader("mangobank-not-executed", "1");
      response.writeHead(421).end();
      return;
    }
    this.#running += 1;
    this.runs.push({ id, at: performance.now() });
    this.#record.line(
      `worker ${this.id} runs ${id} ${request.method} ${request.url}`,
    );
    await delay(this.workMs);
    this.#running -= 1;
    response.setHeader("mangobank-response-signature", `signed-${this.id}`);
    response.end(`done ${id}`);
  }
}

/** Sends one request of a client on a new connection. */
export async function request(
  site,
  machine,
  { host, path, method = "GET", deadlineMs = 2_000 },
) {
  const id = randomBytes(8).toString("hex");
  const answer = await call(
    {
      host: machine.ip,
      port: site.port("frontend"),
      method,
      path,
      headers: {
        host,
        "mangobank-request-id": id,
        "mangobank-request-deadline": String(deadlineMs),
      },
    },
    { timeoutMs: deadlineMs },
  );
  const isServed =
    answer.status === 200 &&
    answer.headers["mangobank-response-signature"] !== undefined;
  return { id, ...answer, isServed };
}

/** Polls until a condition holds; false after the time. */
export async function waitFor(condition, ms) {
  const until = performance.now() + ms;
  while (performance.now() < until) {
    if (await condition()) return true;
    await delay(100);
  }
  return false;
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
export async function runCase(folder, play) {
  const record = new Recording(folder);
  const site = new Site(record);
  const hasTrouble = process.env.TROUBLE !== "0";
  const workers = [];
  const end = (code) => {
    for (const worker of workers) worker.close();
    site.close();
    process.exit(code);
  };
  setTimeout(() => {
    record.line("the case took too long");
    end(2);
  }, 115_000).unref();
  for (const signal of ["SIGINT", "SIGTERM"])
    process.once(signal, () => end(2));
  try {
    const verdict = await play({ site, record, workers, hasTrouble });
    record.line(`verdict: ${verdict}`);
    console.log(verdict);
    end({ broken: 1, held: 0 }[verdict.split(":")[0]] ?? 2);
  } catch (error) {
    record.line(`could not run: ${error.stack}`);
    console.log(`could not run: ${error.message}`);
    end(2);
  }
}
