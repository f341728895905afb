/**
 * The baseline of the process bench: a proxy on Node's `http` that only
 * forwards requests to the servers in turn, in a process of its own.
 *
 * @module
 */
import { Agent, createServer, request } from "node:http";

const [port = "0", ...servers] = process.argv.slice(2);
const agent = new Agent({ keepAlive: true });
let requestCount = 0;

createServer((incoming, response) => {
  requestCount += 1;
  const [host = "", serverPort = "0"] =
    servers[requestCount % servers.length]?.split(":") ?? [];
  const outgoing = request(
    {
      host,
      port: Number(serverPort),
      agent,
      method: incoming.method,
      path: incoming.url,
      headers: incoming.headers,
    },
    (serverResponse) => {
      response.writeHead(
        serverResponse.statusCode ?? 502,
        serverResponse.rawHeaders,
      );
      serverResponse.pipe(response);
    },
  );
  outgoing.on("error", () => response.destroy());
  incoming.pipe(outgoing);
}).listen(Number(port), "127.0.0.1", () => process.send?.("listening"));
process.once("disconnect", () => process.exit(0));
