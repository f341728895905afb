/**
 * Runs the stand-in backend servers of one service in a process of its own. The
 * parent process controls it over Node's IPC channel.
 *
 * @module
 */
import type { Address } from "#model";
import { exponentialServiceMs, StandinServer } from "#standin";

/** The stand-in servers that a process starts. */
export interface StandinPlan {
  readonly service: string;
  readonly dataCentres: readonly string[];
  readonly count: number;
  readonly slots: number;
  readonly connections: number;
  readonly serviceMs: number;
  readonly entries: readonly Address[];
}

/** A command from the parent process. */
export type StandinCommand =
  | { readonly type: "start"; readonly plan: StandinPlan }
  /** Stops the servers of a data centre, as a platform does. */
  | { readonly type: "stop"; readonly dataCentre: string }
  | { readonly type: "report" };

/** One run of a request on a server. */
export interface StandinRun {
  readonly requestId: string;
  readonly key: string | undefined;
}

/** The reply to a command. */
export type StandinReply =
  | { readonly type: "started" }
  | { readonly type: "stopped"; readonly cutOff: number }
  | { readonly type: "report"; readonly runs: readonly StandinRun[] };

const servers: { dataCentre: string; server: StandinServer }[] = [];

async function start(plan: StandinPlan): Promise<void> {
  for (let index = 0; index < plan.count; index++) {
    const dataCentre = plan.dataCentres[index % plan.dataCentres.length] ?? "";
    const server = new StandinServer({
      id: `${plan.service}-${index + 1}`,
      service: plan.service,
      dataCentre,
      entries: () => plan.entries,
      slots: plan.slots,
      connections: plan.connections,
      behaviour: { serviceMs: exponentialServiceMs(plan.serviceMs) },
    });
    await server.start();
    servers.push({ dataCentre, server });
  }
}

async function stop(dataCentre: string): Promise<number> {
  const leaving = servers.filter((s) => s.dataCentre === dataCentre);
  // The planned stop is done, so no call should run any more.
  const cutOff = leaving.reduce((sum, s) => sum + s.server.inFlight, 0);
  await Promise.all(leaving.map((s) => s.server.stop()));
  return cutOff;
}

function runs(): StandinRun[] {
  return servers.flatMap(({ server }) =>
    server.executionLog.executions.map(({ requestId, key }) => ({
      requestId,
      key,
    })),
  );
}

function reply(message: StandinReply): void {
  process.send?.(message);
}

process.on("message", async (command: StandinCommand) => {
  switch (command.type) {
    case "start":
      await start(command.plan);
      reply({ type: "started" });
      return;
    case "stop":
      reply({ type: "stopped", cutOff: await stop(command.dataCentre) });
      return;
    case "report":
      reply({ type: "report", runs: runs() });
  }
});
process.once("disconnect", () => process.exit(0));
