import type { ClientRequest, IncomingMessage } from "node:http";
import type { RequestBody } from "./request_body.ts";

/**
 * Sends a body to a server, also after the server has answered: it may read on
 * later, and the bytes after its answer belong to this request until the body ends.
 */
export function forwardBody(to: ClientRequest, body: RequestBody): void {
  const { head, rest } = body;
  if (!rest) {
    to.end(head.length > 0 ? head : undefined);
    return;
  }
  to.write(head);
  forwardRest(rest, to);
}

/**
 * Writes one part at a time. The write's callback tells when to read on: a request
 * whose response has ended emits no `drain` any more.
 */
function forwardRest(from: IncomingMessage, to: ClientRequest): void {
  const { socket } = from;
  let response: IncomingMessage | undefined;
  to.once("response", (received) => {
    response = received;
  });
  const onData = (part: Buffer) => {
    if (to.destroyed) return;
    from.pause();
    to.write(part, () => from.resume());
  };
  // The end of the connection tells the server that the body is cut. Before its
  // answer, the call decides whether the request goes on without its caller.
  const onClose = () => {
    if (from.complete) return;
    if (response) cutAfter(response, to);
    else to.once("response", (received) => cutAfter(received, to));
  };
  from.on("data", onData);
  from.once("end", () => {
    socket.off("close", onClose);
    to.end();
  });
  socket.once("close", onClose);
  to.once("close", () => {
    socket.off("close", onClose);
    // What the server does not want is read, so that the caller can go on.
    from.off("data", onData);
    from.resume();
  });
  from.resume();
}

/** Closes a request's connection once its response has been received. */
function cutAfter(response: IncomingMessage, request: ClientRequest): void {
  if (response.complete) request.destroy();
  else response.once("close", () => request.destroy());
}
