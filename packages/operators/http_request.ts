import { request as httpRequest } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { Address } from "#model";

/** Longest response accepted; the whole history of a section fits. */
export const MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

/** An HTTP request to a control host. */
export interface HttpRequest {
  readonly method: "GET" | "PUT" | "DELETE";
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
}

export interface HttpResponse {
  readonly status: number;
  readonly text: string;
}

/** Sends a request to one address; the error is a human-readable reason. */
export function sendHttpRequest(
  address: Address,
  message: HttpRequest,
  options: { readonly timeoutMs: number },
): Promise<Result<HttpResponse, string>> {
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
          if (bytes > MAX_RESPONSE_BYTES)
            request.destroy(new Error("too long"));
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
    const finish = (result: Result<HttpResponse, string>) => {
      clearTimeout(timer);
      resolve(result);
    };
    request.on("error", (error) => finish(err(error.message)));
    request.end(body);
  });
}
