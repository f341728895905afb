import { v4 as uuid } from "uuid";
import { SeededRandomness } from "#model";
import { Caller } from "./caller.ts";
import type { Deployment, Traffic } from "./deployments.ts";
import { ClassOutcomes, findViolations } from "./outcomes.ts";
import { SiteProcesses } from "./site_processes.ts";
import { StandinHandle } from "./standin_handle.ts";
import { until } from "./until.ts";

/** Mean service time of the stand-ins, in milliseconds. */
const MEAN_SERVICE_MS = 20;
const CALLER_COUNT = 12;

export interface DemoOptions {
  readonly deployment: Deployment;
  readonly example: string;
  readonly folder: string;
  readonly command: readonly string[];
  readonly standinProgram: string;
  readonly seconds: number;
  readonly log: (text: string) => void;
}

export interface DemoResult {
  readonly deployment: string;
  readonly classes: readonly ClassOutcomes[];
  /** Violations of the guarantees to callers, as texts. */
  readonly violations: readonly string[];
  /** Time until the section change under load is in force, in milliseconds. */
  readonly changeMs: number;
  /**
   * Time from the planned start of the stop until it is done, in milliseconds.
   */
  readonly stopMs: number;
}

/** Runs one deployment under load, with a section change and a planned stop. */
export async function runDemo(options: DemoOptions): Promise<DemoResult> {
  const { deployment, log } = options;
  const site = new SiteProcesses(options);
  const standins = deployment.backends.map(
    (backends) =>
      new StandinHandle(options.standinProgram, {
        ...backends,
        dataCentres: deployment.dataCentres,
        serviceMs: MEAN_SERVICE_MS,
        entries: site.seeds,
      }),
  );
  try {
    const started = performance.now();
    await site.start();
    await Promise.all(standins.map((standin) => standin.start()));
    await until(() => allServersKnown(site, deployment), {
      what: "all entries know all backend servers",
    });
    const startupMs = Math.round(performance.now() - started);
    const hostCount = site.entries.length + site.controls.length;
    log(
      `${deployment.name}: ${hostCount} processes ready after ${startupMs} ms`,
    );
    const classes = deployment.traffic.map((t) => new ClassOutcomes(t.class));
    const load = Promise.all(
      deployment.traffic.map((traffic, index) =>
        sendLoad(
          site,
          { deployment, traffic, seconds: options.seconds },
          (response) => classes[index]?.responses.push(response),
        ),
      ),
    );
    const changes = await changeUnderLoad(site, { deployment, standins });
    await load;
    const runs = (
      await Promise.all(standins.map((standin) => standin.runs()))
    ).flat();
    const violations = findViolations(classes, runs);
    if (changes.cutOff > 0) {
      violations.push(
        `${changes.cutOff} calls were cut off by the planned stop`,
      );
    }
    const { changeMs, stopMs } = changes;
    return {
      deployment: deployment.name,
      classes,
      violations,
      changeMs,
      stopMs,
    };
  } finally {
    for (const standin of standins) standin.close();
    await site.close();
  }
}

async function allServersKnown(
  site: SiteProcesses,
  deployment: Deployment,
): Promise<boolean> {
  const counts = await Promise.all(
    site.entries.map(async ({ metrics }) => {
      const url = `http://${metrics.host}:${metrics.port}/readyz`;
      const { status } = (await (await fetch(url)).json()) as {
        status: { servers: Record<string, number> };
      };
      return status.servers;
    }),
  );
  return counts.every((servers) =>
    deployment.backends.every((b) => servers[b.service] === b.count),
  );
}

/** Sends calls at a constant rate from callers in all data centres. */
async function sendLoad(
  site: SiteProcesses,
  options: { deployment: Deployment; traffic: Traffic; seconds: number },
  onResponse: (answer: Awaited<ReturnType<Caller["call"]>>) => void,
): Promise<void> {
  const { deployment, traffic, seconds } = options;
  const { dataCentres } = deployment;
  const callers = Array.from(
    { length: CALLER_COUNT },
    (_, index) =>
      new Caller({
        seeds: site.seeds,
        dataCentre: dataCentres[index % dataCentres.length] ?? "",
        randomness: new SeededRandomness(index + 1),
      }),
  );
  const started = performance.now();
  const total = Math.round(traffic.rate * seconds);
  const pending: Promise<void>[] = [];
  for (let sent = 0; sent < total; sent++) {
    const dueAt = started + (sent * 1_000) / traffic.rate;
    const waitMs = dueAt - performance.now();
    if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs));
    const caller = callers[sent % callers.length];
    if (caller) pending.push(caller.call(traffic.request).then(onResponse));
  }
  await Promise.all(pending);
  for (const caller of callers) caller.close();
}

/** Changes a section, runs a planned stop and then stops its servers. */
async function changeUnderLoad(
  site: SiteProcesses,
  options: {
    deployment: Deployment;
    standins: readonly StandinHandle[];
  },
): Promise<{ changeMs: number; stopMs: number; cutOff: number }> {
  const { deployment, standins } = options;
  const { section, stop, stopDataCentre } = deployment;
  await sleep(1_000);
  const operator = site.operator(section.team);
  const text = site.sectionText(section.name);
  const changedText = text.replace(
    "cold_start_ms: 10000",
    "cold_start_ms: 8000",
  );
  const changeStarted = performance.now();
  await put(operator, { name: section.name, text: changedText, revision: 1 });
  const changeMs = performance.now() - changeStarted;
  const at = new Date(Date.now() + 1_000);
  const textWithStop = changedText.replace(/at: .*/, `at: ${at.toISOString()}`);
  await put(operator, { name: section.name, text: textWithStop, revision: 2 });
  await until(() => stopIsDone(operator, stop.name), {
    what: `${stop.name} is done`,
  });
  const stopMs = Date.now() - at.getTime();
  const standin = standins.find((s) => s.plan.service === stop.service);
  const cutOff = (await standin?.stop(stopDataCentre)) ?? 0;
  return { changeMs, stopMs, cutOff };
}

type Operator = ReturnType<SiteProcesses["operator"]>;

async function put(
  operator: Operator,
  change: { name: string; text: string; revision: number },
): Promise<void> {
  const { name, text, revision } = change;
  const result = await operator.put(name, { text, revision, changeId: uuid() });
  if (result.isErr()) {
    throw new Error(`put ${name}: ${JSON.stringify(result.error)}`);
  }
}

async function stopIsDone(operator: Operator, name: string): Promise<boolean> {
  const read = await operator.read(["stops"]);
  if (read.isErr()) return false;
  const { stops } = read.value as { stops: { name: string; phase: string }[] };
  return stops.some((stop) => stop.name === name && stop.phase === "done");
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
