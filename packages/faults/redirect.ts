/**
 * Preloaded into the processes of a test deployment: redirects their
 * connections to the relays in `relays.json`. The settings can't name relays,
 * because an entry listens on the same address that the view gives to the other
 * entries.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { Socket } from "node:net";
import { basename, dirname, join } from "node:path";

/** Relay ports by id of the connecting host and by port of the destination. */
export type RelayPorts = Record<string, Record<number, number>>;

const settings = process.argv[process.argv.indexOf("--settings") + 1] ?? "";
const file = join(dirname(settings), "..", "relays.json");
const ports = JSON.parse(readFileSync(file, "utf8")) as RelayPorts;
const relayPorts = ports[basename(settings, ".yaml")] ?? {};

type Connect = (this: Socket, ...args: unknown[]) => Socket;
const connect = Socket.prototype.connect as Connect;

Socket.prototype.connect = function (this: Socket, ...args: unknown[]) {
  // `net.connect` passes one array of arguments, with the options first.
  const [first] = args;
  const options = (Array.isArray(first) ? first[0] : first) as {
    port?: number;
  };
  const relayPort = relayPorts[options.port ?? 0];
  if (relayPort !== undefined) options.port = relayPort;
  return connect.apply(this, args);
} as typeof Socket.prototype.connect;
