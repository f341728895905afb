/**
 * Preloaded into a process of a site: connects through the relays of the test.
 * Settings cannot name relays, because an entry listens on the address that the
 * agreed view gives to the others.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { Socket } from "node:net";
import { basename, dirname, join } from "node:path";

/** Ports to connect to instead, by host id and port of the destination. */
export type RelayPorts = Record<string, Record<number, number>>;

const settings = process.argv[process.argv.indexOf("--settings") + 1] ?? "";
const file = join(dirname(settings), "..", "relays.json");
const ports = JSON.parse(readFileSync(file, "utf8")) as RelayPorts;
const own = ports[basename(settings, ".yaml")] ?? {};

type Connect = (this: Socket, ...args: unknown[]) => Socket;
const connect = Socket.prototype.connect as Connect;

Socket.prototype.connect = function (this: Socket, ...args: unknown[]) {
  // `net.connect` passes its arguments as an array with the options first.
  const [first] = args;
  const options = (Array.isArray(first) ? first[0] : first) as {
    port?: number;
  };
  const relay = own[options.port ?? 0];
  if (relay !== undefined) options.port = relay;
  return connect.apply(this, args);
} as typeof Socket.prototype.connect;
