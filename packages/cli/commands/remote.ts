import { readFile } from "node:fs/promises";
import { Command, Option, UsageError } from "clipanion";
import type { Result } from "neverthrow";
import { type DocumentFault, formatFault } from "#document";
import type { Address } from "#model";
import { type ClientFault, OperatorClient } from "#operators";
import { type CliContext, createLog } from "../context.ts";
import { EXIT, EXIT_BY_ERROR } from "../exit_codes.ts";
import { formatJson } from "../output.ts";

/** A subcommand that talks to the control hosts. */
export abstract class RemoteCommand extends Command<CliContext> {
  readonly control = Option.Array("--control", {
    description:
      "HTTP address host:port of a control host; repeat it to name several, which are tried in order",
    required: true,
  });

  readonly credentialFile = Option.String("--credential-file", {
    description: "File with the credential of your team",
    required: true,
  });

  readonly json = Option.Boolean("--json", false, {
    description: "Print JSON for programs",
  });

  readonly timeout = Option.String("--timeout-s", "20", {
    description: "Time for all attempts together, in seconds",
  });

  /** Makes a client from the options. */
  protected async connect(): Promise<OperatorClient> {
    const seconds = Number(this.timeout);
    if (!(seconds > 0 && seconds <= 3_600)) {
      throw new UsageError("--timeout-s needs seconds from 0 to 3600");
    }
    return new OperatorClient({
      control: this.control.map(parseAddress),
      credential: await readCredentialFile(this.credentialFile),
      clock: this.context.clock,
      timeoutMs: seconds * 1_000,
    });
  }

  /** Prints an answer for people or programs, or explains the fault. */
  protected finish<T>(
    result: Result<unknown, ClientFault>,
    format: (answer: T) => string,
  ): number {
    return result.match(
      (answer) => {
        const { stdout } = this.context;
        stdout.write(this.json ? formatJson(answer) : format(answer as T));
        return EXIT.done;
      },
      (fault) => this.explain(fault),
    );
  }

  /** Prints a fault and returns its exit code. */
  protected explain(fault: ClientFault): number {
    if (this.json) this.context.stdout.write(formatJson({ error: fault }));
    const log = createLog(this.context);
    switch (fault.type) {
      case "malformed_answer":
        log.error(`${fault.address} is not a control host of mangobank`);
        return EXIT.failed;
      case "no_answer":
        for (const { address, reason } of fault.attempts) {
          log.error(`${address}: ${reason}`);
        }
        log.error(
          fault.mayBeDone
            ? "no control host confirmed the change; it may have been made"
            : "no control host answered; nothing was done",
        );
        return fault.mayBeDone ? EXIT.result_unknown : EXIT.no_answer;
      case "refused":
        log.error(`${fault.code}: ${fault.message}`);
        for (const line of listFaults(fault.details)) log.error(line);
        return EXIT_BY_ERROR[fault.code] ?? EXIT.failed;
    }
  }
}

/** A subcommand that reads. */
export abstract class ReadCommand extends RemoteCommand {
  readonly stale = Option.Boolean("--stale", false, {
    description:
      "Take what one host knows, without the confirmation of a majority",
  });

  /** Reads a path below `/v1` and prints it. */
  protected async show<T>(
    path: readonly string[],
    format: (answer: T) => string,
  ): Promise<number> {
    const client = await this.connect();
    return this.finish(await client.read(path, { stale: this.stale }), format);
  }
}

function listFaults(details: Readonly<Record<string, unknown>>): string[] {
  const faults = details.faults as readonly DocumentFault[] | undefined;
  if (!Array.isArray(faults)) return [];
  const omitted = Number(details.omitted ?? 0);
  const lines = faults.map(formatFault);
  return omitted > 0 ? [...lines, `and ${omitted} more`] : lines;
}

/** Reads `host:port`, with brackets around a host with colons. */
export function parseAddress(text: string): Address {
  const parts = /^(?:\[([^\]]+)\]|([^:[\]]+)):(\d{1,5})$/.exec(text);
  const host = parts?.[1] ?? parts?.[2];
  const port = Number(parts?.[3]);
  if (host === undefined || port < 1 || port > 65_535) {
    throw new UsageError(`${JSON.stringify(text)} is not host:port`);
  }
  return { host, port };
}

async function readCredentialFile(path: string): Promise<string> {
  const text = await readTextFile(path);
  const credential = text.trim();
  if (/^[\x21-\x7e]+$/.test(credential)) return credential;
  throw new UsageError(`${path} holds no credential (one line, no spaces)`);
}

/** Reads a file that the user named; a failure is an error of usage. */
export async function readTextFile(path: string): Promise<string> {
  try {
    return await readFile(path, "utf8");
  } catch (error) {
    throw new UsageError(error instanceof Error ? error.message : path);
  }
}
