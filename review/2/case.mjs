/** A client's body in chunks, with a method other than POST and PUT. */
import { setTimeout as delay } from "node:timers/promises";
import { deploy } from "../lib/deployment.mjs";
import { sendRequest } from "../lib/platform.mjs";
import { runCase } from "../lib/site.mjs";

const REQUESTS = 8;

/** A body that is itself the text of a request, as a note about one may be. */
const INNER_ID = "inner";
function bodyText(index) {
  return [
    `POST /booking/inner-${index} HTTP/1.1`,
    "Host: a.example",
    `Mangobank-Request-Id: ${INNER_ID}-${index}`,
    "Mangobank-Request-Deadline: 4000",
    "Content-Length: 0",
    "",
    "",
  ].join("\r\n");
}

await runCase(import.meta.dirname, async (context) => {
  const { recorder, hasTrouble } = context;
  const { site, workers, machines } = await deploy(context, {
    services: ["alloc"],
    routes: [
      { name: "booking", spec: { type: "non_idempotent" } },
      { name: "lookup" },
    ],
    workers: ["w1", "w2"].map((id) => ({ id, service: "alloc" })),
  });
  await site.waitFor("a request is served", async () => {
    const { answer } = await sendRequest(
      site.address(machines[0], "frontend"),
      {
        path: "/lookup/first",
      },
    );
    return answer?.status === 200;
  });
  const sent = new Map();
  for (let index = 0; index < REQUESTS; index++) {
    const address = site.address(machines[index % 4], "frontend");
    const body = bodyText(index);
    const path = `/booking/outer-${index}`;
    // Both are sound ways to send a body; only the framing differs.
    const headers = hasTrouble
      ? { "transfer-encoding": "chunked" }
      : { "content-length": Buffer.byteLength(body) };
    const { id, answer } = await sendRequest(address, {
      method: "DELETE",
      path,
      headers,
      body,
    });
    sent.set(id, { path, body });
    recorder.add(
      `client: DELETE ${path} ${id} body ${body.length} bytes ${Object.keys(headers)} -> ${answer?.status ?? "no answer"}`,
    );
  }
  await delay(500);
  let broken = false;
  for (const { id, method, path, body, worker } of workers.flatMap(
    (w) => w.runs,
  )) {
    if (path.startsWith("/lookup/")) continue;
    const request = sent.get(id);
    const isSame =
      request?.path === path && request.body === body && method === "DELETE";
    recorder.add(
      `worker ${worker}: ran ${method} ${path} ${id} body ${body.length} bytes: ${isSame ? "as sent" : request ? "CHANGED" : "NOBODY SENT IT"}`,
    );
    if (!isSame) broken = true;
  }
  return broken;
});
