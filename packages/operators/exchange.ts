import { request as httpRequest } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { Address } from "#model";

/** Longest answer taken, in bytes; a section's whole history fits. */
export const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

/** One request to one control host. */
export interface Exchange {
  readonly method: "GET" | "PUT" | "DELETE";
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
}

export interface RawAnswer {
  readonly status: number;
  readonly text: string;
}

/** Sends a request to one address; the error is a description for people. */
export function exchange(
  address: Address,
  message: Exchange,
  options: { readonly timeoutMs: number },
): Promise<Result<RawAnswer, string>> {
  return new Promise((resolve) => {
    const { method, path, headers, body = "" } = message;
    const request = httpRequest(
      {
        host: address.host,
        port: address.port,
        method,
        path,
        headers: { ...headers, "content-length": Buffer.byteLength(body) },
        agent: false,
      },
      (response) => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        response.on("data", (chunk: Buffer) => {
          bytes += chunk.length;
          chunks.push(chunk);
          if (bytes > MAX_ANSWER_BYTES) request.destroy(new Error("too long"));
        });
        response.on("error", (error) => finish(err(error.message)));
        response.on("end", () => {
          const text = Buffer.concat(chunks).toString("utf8");
          finish(ok({ status: response.statusCode ?? 0, text }));
        });
      },
    );
    const timer = setTimeout(() => {
      request.destroy(new Error(`no answer within ${options.timeoutMs} ms`));
    }, options.timeoutMs);
    const finish = (result: Result<RawAnswer, string>) => {
      clearTimeout(timer);
      resolve(result);
    };
    request.on("error", (error) => finish(err(error.message)));
    request.end(body);
  });
}
