import { readFile } from "node:fs/promises";
import { Command, Option, UsageError } from "clipanion";
import type { Result } from "neverthrow";
import { type DocumentFault, formatFault } from "#document";
import type { Address } from "#model";
import { type ClientFault, OperatorClient } from "#operators";
import { type CliContext, createLogger } from "../context.ts";
import { EXIT, EXIT_BY_ERROR } from "../exit_codes.ts";
import { formatJson } from "../output.ts";

/** Base of subcommands that send requests to control hosts. */
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

  /** Creates a client from the options. */
  protected async createClient(): Promise<OperatorClient> {
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

  /**
   * Prints the response as text or JSON, or the fault; returns the exit code.
   */
  protected printResult<T>(
    result: Result<unknown, ClientFault>,
    format: (answer: T) => string,
  ): number {
    return result.match(
      (answer) => {
        const { stdout } = this.context;
        stdout.write(this.json ? formatJson(answer) : format(answer as T));
        return EXIT.done;
      },
      (fault) => this.printFault(fault),
    );
  }

  /** Prints a fault and returns its exit code. */
  protected printFault(fault: ClientFault): number {
    if (this.json) this.context.stdout.write(formatJson({ error: fault }));
    const log = createLogger(this.context);
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
        for (const line of formatFaults(fault.details)) log.error(line);
        return EXIT_BY_ERROR[fault.code] ?? EXIT.failed;
    }
  }
}

/** Base of subcommands that read from control hosts. */
export abstract class ReadCommand extends RemoteCommand {
  readonly stale = Option.Boolean("--stale", false, {
    description:
      "Take what one host knows, without the confirmation of a majority",
  });

  /** Reads a path under `/v1` and prints it; returns the exit code. */
  protected async readAndPrint<T>(
    path: readonly string[],
    format: (answer: T) => string,
  ): Promise<number> {
    const client = await this.createClient();
    return this.printResult(
      await client.read(path, { stale: this.stale }),
      format,
    );
  }
}

function formatFaults(details: Readonly<Record<string, unknown>>): string[] {
  const faults = details.faults as readonly DocumentFault[] | undefined;
  if (!Array.isArray(faults)) return [];
  const omitted = Number(details.omitted ?? 0);
  const lines = faults.map(formatFault);
  return omitted > 0 ? [...lines, `and ${omitted} more`] : lines;
}

/** Parses `host:port`; a host with colons is in square brackets. */
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

/** Reads a file given by the user; throws `UsageError` if that fails. */
export async function readTextFile(path: string): Promise<string> {
  try {
    return await readFile(path, "utf8");
  } catch (error) {
    throw new UsageError(error instanceof Error ? error.message : path);
  }
}
