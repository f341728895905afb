import type { IncomingMessage } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { type CallFault, callFault } from "#model";
import { BodyBuffer, TrackedRequest } from "#wire";

/**
 * Bytes of a body that are buffered, for retries, fingerprints and the
 * at-most-once check.
 */
export const MAX_BUFFERED_BODY_BYTES = 64 * 1024;

/** A request body: the buffered first part and a stream of the rest. */
export interface RequestBody {
  readonly head: Buffer;
  /** Undefined if the whole body is buffered. */
  readonly rest: IncomingMessage | undefined;
  /** Bytes of the whole body; undefined if only its end will tell. */
  readonly length: number | undefined;
}

export interface BodyLimits {
  readonly maxBytes: number;
  /** Longest time for the buffered part to arrive. */
  readonly timeoutMs: number;
}

export const EMPTY_BODY: RequestBody = bufferedBody(Buffer.alloc(0));

/**
 * Reads the first part of a body. To be called before a slot of a backend
 * server is taken, so that a slow caller with a small request does not occupy
 * one.
 */
export function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<RequestBody, CallFault>> {
  const { headers } = request;
  const declared = Number(headers["content-length"] ?? 0);
  if (declared > limits.maxBytes) {
    const detail = `body has ${declared} bytes, at most ${limits.maxBytes} are accepted`;
    return Promise.resolve(err(callFault("body_too_large", { detail })));
  }
  if (declared === 0 && headers["transfer-encoding"] === undefined) {
    request.resume();
    return Promise.resolve(ok(EMPTY_BODY));
  }
  return new Promise((resolve) => {
    const buffer = new BodyBuffer(request);
    const finish = (result: Result<RequestBody, CallFault>) => {
      clearTimeout(timer);
      request.off("data", onData);
      request.off("end", onEnd);
      request.off("close", onClose);
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      buffer.append(chunk);
      if (buffer.length <= MAX_BUFFERED_BODY_BYTES) return;
      request.pause();
      const isDeclared = headers["content-length"] !== undefined;
      finish(
        ok({
          head: buffer.take(),
          rest: request,
          length: isDeclared ? declared : undefined,
        }),
      );
    };
    const onEnd = () => finish(ok(bufferedBody(buffer.take())));
    const onClose = () => {
      const detail = "the caller closed the connection";
      finish(err(callFault("request_timeout", { detail })));
    };
    const timer = setTimeout(() => {
      request.pause();
      const detail = `body did not arrive within ${limits.timeoutMs} ms`;
      finish(err(callFault("request_timeout", { detail })));
    }, limits.timeoutMs);
    watchBodyLimit(request, limits, (detail) =>
      finish(err(callFault("body_too_large", { detail }))),
    );
    request.on("data", onData);
    request.once("end", onEnd);
    request.once("close", onClose);
  });
}

/**
 * Calls back with a fault once a body whose length only its end tells exceeds the
 * limit; the rest of it is discarded.
 */
export function watchBodyLimit(
  request: IncomingMessage,
  { maxBytes }: BodyLimits,
  onExcess: (detail: string) => void,
): void {
  if (request.headers["content-length"] !== undefined) return;
  if (!(request instanceof TrackedRequest)) return;
  request.limitBody(maxBytes, () =>
    onExcess(`body has more than the ${maxBytes} bytes that are accepted`),
  );
}

function bufferedBody(head: Buffer): RequestBody {
  return { head, rest: undefined, length: head.length };
}
