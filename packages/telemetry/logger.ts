import { type ConsolaInstance, createConsola, type LogObject } from "consola";
import { type Clock, SystemClock } from "#model";

export type LogLevel = "error" | "warn" | "info" | "debug" | "trace";

/** Structured fields of a log line; `requestId` relates it to a call. */
export interface LogFields {
  readonly requestId?: string;
  readonly [name: string]: unknown;
}

/** The logging interface of all parts of a process. */
export interface Logger {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
  trace(message: string, fields?: LogFields): void;
  /** Creates a logger that adds these fields to every line. */
  with(fields: LogFields): Logger;
}

/** The part of a writable stream that a logger uses. */
export interface LogStream {
  readonly isTTY?: boolean;
  write(line: string): boolean;
}

export interface ConsolaLoggerOptions {
  /** Less severe lines are dropped; `info` by default. */
  readonly level?: LogLevel;
  /** Whether to write JSON; by default, if the stream is not a terminal. */
  readonly json?: boolean;
  /** Standard error by default, as standard output is for results. */
  readonly stream?: LogStream;
  readonly clock?: Clock;
  readonly fields?: LogFields;
}

const CONSOLA_LEVELS: Record<LogLevel, number> = {
  error: 0,
  warn: 1,
  info: 3,
  debug: 4,
  trace: 5,
};

/** Logs with consola, as one JSON object per line or as text for a terminal. */
export class ConsolaLogger implements Logger {
  readonly #consola: ConsolaInstance;
  readonly #fields: LogFields;
  readonly #json: boolean;

  constructor(options: ConsolaLoggerOptions = {}, consola?: ConsolaInstance) {
    const stream = options.stream ?? process.stderr;
    this.#json = options.json ?? !stream.isTTY;
    this.#fields = options.fields ?? {};
    this.#consola =
      consola ??
      (this.#json
        ? createJsonConsola(stream, options)
        : createConsola({
            level: CONSOLA_LEVELS[options.level ?? "info"],
            stdout: stream as NodeJS.WriteStream,
            stderr: stream as NodeJS.WriteStream,
          }));
  }

  error(message: string, fields?: LogFields): void {
    this.#log("error", message, fields);
  }

  warn(message: string, fields?: LogFields): void {
    this.#log("warn", message, fields);
  }

  info(message: string, fields?: LogFields): void {
    this.#log("info", message, fields);
  }

  debug(message: string, fields?: LogFields): void {
    this.#log("debug", message, fields);
  }

  trace(message: string, fields?: LogFields): void {
    this.#log("trace", message, fields);
  }

  with(fields: LogFields): Logger {
    const merged = { ...this.#fields, ...fields };
    return new ConsolaLogger(
      { json: this.#json, fields: merged },
      this.#consola,
    );
  }

  #log(level: LogLevel, message: string, fields?: LogFields): void {
    if (CONSOLA_LEVELS[level] > this.#consola.level) return;
    const allFields = { ...this.#fields, ...fields };
    if (this.#json) this.#consola[level]({ message, args: [allFields] });
    else this.#consola[level](`${message}${formatFields(allFields)}`);
  }
}

/** Discards all lines; for tests and benchmarks. */
export class SilentLogger implements Logger {
  error(): void {}
  warn(): void {}
  info(): void {}
  debug(): void {}
  trace(): void {}

  with(): Logger {
    return this;
  }
}

function createJsonConsola(stream: LogStream, options: ConsolaLoggerOptions) {
  const clock = options.clock ?? new SystemClock();
  return createConsola({
    level: CONSOLA_LEVELS[options.level ?? "info"],
    // Consola's throttling would merge equal lines, which log readers count.
    throttle: 0,
    reporters: [
      { log: (line) => void stream.write(`${formatJson(line, clock)}\n`) },
    ],
  });
}

function formatJson(line: LogObject, clock: Clock): string {
  const [message, fields] = line.args as [string, LogFields | undefined];
  const time = new Date(clock.wallTime()).toISOString();
  const entry = { time, level: line.type, message, ...fields };
  // Fields must not overwrite time, level and message.
  return stringify({ ...entry, time, level: line.type, message });
}

function formatFields(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => {
      const isPlainText =
        typeof value === "string" && /^[\w.:/-]+$/.test(value);
      return ` ${name}=${isPlainText ? value : stringify(value)}`;
    })
    .join("");
}

/** Converts any value to JSON without throwing. */
function stringify(value: unknown): string {
  try {
    return JSON.stringify(value, replacer) ?? "null";
  } catch {
    return JSON.stringify({ unserializable: String(value) });
  }
}

function replacer(_name: string, value: unknown): unknown {
  if (typeof value === "bigint") return value.toString();
  if (!(value instanceof Error)) return value;
  return { name: value.name, message: value.message, stack: value.stack };
}
