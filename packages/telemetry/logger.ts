import { type ConsolaInstance, createConsola, type LogObject } from "consola";
import { type Clock, SystemClock } from "#model";

export type LogLevel = "error" | "warn" | "info" | "debug" | "trace";

/** Structured data of a log line; `requestId` ties it to a call. */
export interface LogFields {
  readonly requestId?: string;
  readonly [name: string]: unknown;
}

/** The port through which every part of a process logs. */
export interface Logger {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
  trace(message: string, fields?: LogFields): void;
  /** A logger that adds these fields to every line. */
  with(fields: LogFields): Logger;
}

/** Where log lines are written. */
export interface LogStream {
  readonly isTTY?: boolean;
  write(line: string): boolean;
}

export interface ConsolaLoggerOptions {
  /** Lines below this level are dropped. */
  readonly level?: LogLevel;
  /** JSON lines unless the stream is a terminal. */
  readonly json?: boolean;
  /** Standard error by default, so that standard output stays free. */
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

/** Logs through consola: one JSON object a line, or text on a terminal. */
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
        ? jsonConsola(stream, options)
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
    const all = { ...this.#fields, ...fields };
    if (this.#json) this.#consola[level]({ message, args: [all] });
    else this.#consola[level](`${message}${formatFields(all)}`);
  }
}

/** Drops every line; for tests and benches. */
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

function jsonConsola(stream: LogStream, options: ConsolaLoggerOptions) {
  const clock = options.clock ?? new SystemClock();
  return createConsola({
    level: CONSOLA_LEVELS[options.level ?? "info"],
    // Machine readers count lines, so equal lines are not merged.
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
  // The caller's fields never replace the line's own.
  return stringify({ ...entry, time, level: line.type, message });
}

function formatFields(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => {
      const plain = typeof value === "string" && /^[\w.:/-]+$/.test(value);
      return ` ${name}=${plain ? value : stringify(value)}`;
    })
    .join("");
}

/** JSON of any value; a value that JSON cannot express never throws. */
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
