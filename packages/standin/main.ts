import { parseArgs } from "node:util";
import { consola } from "consola";
import { stopSignal } from "#telemetry";
import { exponentialServiceMs } from "./behaviour.ts";
import { StandinServer } from "./standin_server.ts";

const { values } = parseArgs({
  options: {
    service: { type: "string", default: "alloc" },
    "data-centre": { type: "string", default: "riga-a" },
    entry: { type: "string", multiple: true, default: ["127.0.0.1:8080"] },
    count: { type: "string", default: "1" },
    slots: { type: "string", default: "6" },
    "service-ms": { type: "string", default: "20" },
  },
});
const entries = values.entry.map((text) => {
  const { hostname, port } = new URL(`http://${text}`);
  return { host: hostname, port: Number(port || 80) };
});
const servers = Array.from(
  { length: Number(values.count) },
  (_, index) =>
    new StandinServer({
      id: `${values["data-centre"]}-${values.service}-${index + 1}`,
      service: values.service,
      dataCentre: values["data-centre"],
      entries: () => entries,
      slots: Number(values.slots),
      behaviour: {
        serviceMs: exponentialServiceMs(Number(values["service-ms"])),
      },
    }),
);
for (const server of servers) {
  const { host, port } = await server.start();
  consola.info(`${server.id} serves at ${host}:${port}`);
}

await stopSignal();
await Promise.all(servers.map((server) => server.stop()));
consola.info(`${servers.length} servers stopped`);
