/** Heartbeats of another writer, with bytes that cannot be read in an address. */
import { setTimeout as delay } from "node:timers/promises";
import { deploy } from "../lib/deployment.mjs";
import { sendRequest } from "../lib/platform.mjs";
import { runCase } from "../lib/site.mjs";

const INTERVAL_MS = 100;
const DURATION_MS = 40_000;
const HEARTBEAT_MS = 1_500;
/** A NUL byte behind the IP number: no address that can be read. */
const OTHER_ADDRESS = "127.0.0.1\u0000:8080";
/** The rule: processes end three times, on two machines at least. */
const MAX_ENDS = 3;
const MAX_MACHINES = 2;

await runCase(import.meta.dirname, async (context) => {
  const { recorder, hasTrouble, cleanUps } = context;
  const { site, operator, machines, ends } = await deploy(context, {
    services: ["alloc"],
    routes: [{ name: "lookup" }],
    workers: ["w1", "w2", "w3"].map((id) => ({ id, service: "alloc" })),
  });
  await site.waitFor("a request is served", async () => {
    const { answer } = await sendRequest(
      site.address(machines[0], "frontend"),
      { path: "/lookup/0" },
    );
    return answer?.status === 200;
  });
  let sequence = 0;
  const heartbeat = () => ({
    address: OTHER_ADDRESS,
    born: startedAt,
    info: { service: "alloc", version: "v1", zone: "riga-a", capacity: 6 },
    status: { state: "ready", sequence: ++sequence, warmup_remaining_s: 0 },
  });
  const startedAt = Date.now();
  const beat = async () => {
    const body = JSON.stringify(heartbeat());
    const path = "/mangobank/Instances.Heartbeat/i-other";
    const headers = { "content-type": "application/json" };
    const reply = await operator.send({ method: "POST", path, headers, body });
    if (sequence === 1)
      recorder.add(
        `other writer: first heartbeat ${body} -> ${reply?.status ?? "no answer"}`,
      );
  };
  if (hasTrouble) {
    await beat();
    const timer = setInterval(beat, HEARTBEAT_MS);
    cleanUps.push(() => clearInterval(timer));
  }
  const endsOf = (host) =>
    ends.filter((e) => e.role === "entry" && e.host === host).length;
  const isBroken = () =>
    machines.filter((host) => endsOf(host) >= MAX_ENDS).length >= MAX_MACHINES;
  const counts = { served: 0, failed: 0 };
  const end = performance.now() + DURATION_MS;
  for (let index = 0; performance.now() < end && !isBroken(); index++) {
    const host = machines[index % 4];
    const { id, answer } = await sendRequest(site.address(host, "frontend"), {
      path: `/lookup/${index}`,
    });
    if (answer?.status === 200) counts.served += 1;
    else {
      counts.failed += 1;
      if (counts.failed <= 20)
        recorder.add(
          `client: GET /lookup/${index} ${id} at machine ${host} -> ${answer?.status ?? "no answer"}`,
        );
    }
    await delay(INTERVAL_MS);
  }
  recorder.add(
    `client: ${counts.served} requests served, ${counts.failed} not`,
  );
  for (const host of machines)
    recorder.add(
      `machine ${host}: the entry ended by itself ${endsOf(host)} times`,
    );
  return isBroken();
});
