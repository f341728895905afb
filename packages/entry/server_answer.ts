import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import type { AnswerReport } from "./call_protocol.ts";

/** Answers up to this size are checked to be whole before they are passed on. */
export const BUFFERED_ANSWER_BYTES = 64 * 1024;

/** A server's answer: whole if it is short, else still arriving. */
export type BackendAnswer = WholeAnswer | StreamedAnswer;

export interface AnswerHead extends AnswerReport {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly rawHeaders: readonly string[];
}

interface WholeAnswer extends AnswerHead {
  readonly body: Buffer;
  readonly stream?: undefined;
}

interface StreamedAnswer extends AnswerHead {
  readonly body?: undefined;
  readonly stream: IncomingMessage;
  /** Whether the answer ended before it was whole; known at its end. */
  readonly wasCut: () => boolean;
}

/** How an attempt went wrong; only `not_connected` proves that it never ran. */
export type ClientFault =
  | { readonly type: "not_connected"; readonly detail: string }
  | { readonly type: "connection_lost"; readonly detail: string }
  | { readonly type: "answer_cut"; readonly detail: string };

export type ClientEnd =
  | { readonly type: "answer"; readonly answer: BackendAnswer }
  | { readonly type: "fault"; readonly fault: ClientFault };

/**
 * Notices that an answer was reset whose length only the end of its connection
 * tells. Node reports such a reset as a plain end if it arrives together with
 * the last bytes. A connection that was reset has no remote address any more;
 * Node looks it up at the first use, which must come after the reset.
 */
function watchEnd(response: IncomingMessage): () => boolean {
  const { headers, socket } = response;
  const framed =
    headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
  if (framed) return () => !response.complete;
  let wasReset = false;
  socket.prependOnceListener("end", () => {
    wasReset = socket.remoteAddress === undefined;
  });
  socket.prependOnceListener("error", () => {
    wasReset = true;
  });
  return () => wasReset || !response.complete;
}

/** Waits for a short body to be whole; a long one is passed on as it comes. */
export function collectAnswer(
  response: IncomingMessage,
  head: AnswerHead,
): Promise<ClientEnd> {
  const wasCut = watchEnd(response);
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      length += chunk.length;
      if (length <= BUFFERED_ANSWER_BYTES) return;
      response.pause();
      response.off("data", onData);
      response.off("end", onEnd);
      response.unshift(Buffer.concat(chunks));
      const answer = { ...head, stream: response, wasCut };
      resolve({ type: "answer", answer });
    };
    const cut = (detail: string) => {
      resolve({ type: "fault", fault: { type: "answer_cut", detail } });
    };
    const onEnd = () => {
      if (wasCut()) {
        cut("the connection was reset");
        return;
      }
      const answer = { ...head, body: Buffer.concat(chunks) };
      resolve({ type: "answer", answer });
    };
    response.on("data", onData);
    response.once("end", onEnd);
    response.once("error", (error) => cut(error.message));
    response.once("close", () => cut("connection closed"));
  });
}
