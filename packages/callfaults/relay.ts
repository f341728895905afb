import { connect, createServer, type Server, type Socket } from "node:net";

const HOST = "127.0.0.1";

/** Forwards connections; while cut, it holds bytes back and closes nothing. */
export class Relay {
  readonly #target: number;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #held: (() => void)[] = [];
  #cut = false;

  constructor(target: number) {
    this.#target = target;
    this.#server = createServer({ pauseOnConnect: true }, (inbound) => {
      this.#track(inbound);
      this.#whenWhole(() => this.#open(inbound));
    });
  }

  /** Listens on any free port and returns it. */
  listen(): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, HOST, () => {
        const bound = this.#server.address();
        resolve(typeof bound === "object" && bound ? bound.port : 0);
      });
    });
  }

  cut(): void {
    this.#cut = true;
    for (const socket of this.#sockets) socket.pause();
  }

  heal(): void {
    this.#cut = false;
    for (const socket of this.#sockets) socket.resume();
    const held = this.#held;
    this.#held = [];
    for (const step of held) step();
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #track(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("close", () => this.#sockets.delete(socket));
  }

  #open(inbound: Socket): void {
    const outbound = connect({ host: HOST, port: this.#target });
    this.#track(outbound);
    this.#forward(inbound, outbound);
    this.#forward(outbound, inbound);
  }

  #forward(from: Socket, to: Socket): void {
    from.on("data", (chunk: Buffer) => to.write(chunk));
    from.once("close", () => this.#whenWhole(() => to.destroySoon()));
    if (!this.#cut) from.resume();
  }

  #whenWhole(step: () => void): void {
    if (this.#cut) this.#held.push(step);
    else step();
  }
}
