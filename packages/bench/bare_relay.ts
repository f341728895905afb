/**
 * The baseline of the process bench: a relay on Node's `http` that does
 * nothing but pass requests on in turn, in a process of its own.
 *
 * @module
 */
import { Agent, createServer, request } from "node:http";

const [port = "0", ...servers] = process.argv.slice(2);
const agent = new Agent({ keepAlive: true });
let turn = 0;

createServer((incoming, response) => {
  turn += 1;
  const [host = "", serverPort = "0"] =
    servers[turn % servers.length]?.split(":") ?? [];
  const outgoing = request(
    {
      host,
      port: Number(serverPort),
      agent,
      method: incoming.method,
      path: incoming.url,
      headers: incoming.headers,
    },
    (answer) => {
      response.writeHead(answer.statusCode ?? 502, answer.rawHeaders);
      answer.pipe(response);
    },
  );
  outgoing.on("error", () => response.destroy());
  incoming.pipe(outgoing);
}).listen(Number(port), "127.0.0.1", () => process.send?.("listening"));
process.once("disconnect", () => process.exit(0));
