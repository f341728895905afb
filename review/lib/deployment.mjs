/** A small deployment: four machines with both roles, one in each zone. */
import {
  limitsItem,
  Operator,
  routeItem,
  serviceItem,
  Worker,
} from "./platform.mjs";
import { Site } from "./site.mjs";

const ZONES = ["riga-a", "riga-b", "jelgava", "valmiera"];
const MACHINES = [11, 12, 13, 14];
/** Addresses of machines that a case may add. */
const SPARES = [21, 22, 23, 24];

/**
 * Starts the machines and workers, sends the first configuration, and waits
 * until all entries are ready.
 */
export async function deploy(context, { routes, services, workers }) {
  const { recorder, cleanUps } = context;
  const site = await Site.create({ hosts: [...MACHINES, ...SPARES] });
  cleanUps.push(() => site.close());
  const ends = [];
  site.onOwnEnd = ({ host, role, code, signal, errors }) => {
    ends.push({ host, role, code, signal });
    const reason = errors.split("\n").find((line) => /Error/.test(line)) ?? "";
    recorder.add(
      `machine ${host} ${role} ended by itself: ${code ?? signal} ${reason.trim()}`,
    );
  };
  const seeds = MACHINES.slice(0, 3);
  for (const [index, host] of MACHINES.entries()) {
    const zone = ZONES[index];
    site.start(host, {
      zone,
      roles: ["control", "entry"],
      seeds,
      bootstrap: true,
    });
  }
  /** Machines that serve control, as the operator and the workers list them. */
  const controls = [...MACHINES];
  const operator = new Operator(() =>
    controls.map((host) => site.address(host, "control")),
  );
  const first = [
    ...services.map((name) => serviceItem(name, 1)),
    ...routes.map(({ name, spec }) => routeItem(name, 1, spec)),
    limitsItem(1),
  ];
  await site.waitFor(
    "the first configuration is acknowledged",
    async () => (await operator.patch(first))?.status === 200,
  );
  recorder.add("operator: first configuration r1 acknowledged");
  const running = [];
  for (const { id, service, zone = ZONES[running.length % 4] } of workers) {
    const worker = new Worker({ id, service, zone });
    await worker.listen();
    worker.announce(operator);
    cleanUps.push(() => worker.close());
    running.push(worker);
  }
  for (const host of MACHINES)
    await site.waitFor(`machine ${host} is ready`, () => site.isReady(host));
  return {
    site,
    operator,
    controls,
    workers: running,
    ends,
    machines: MACHINES,
    spares: SPARES,
    zones: ZONES,
  };
}
