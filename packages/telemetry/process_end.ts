import type { Logger } from "./logger.ts";

/** Longest text of an error's message and of its stack in a log line. */
const MAX_MESSAGE_CHARACTERS = 500;
const MAX_STACK_CHARACTERS = 2_000;

/** An error as fields of a log line, with bounded texts. */
export interface ErrorFields {
  readonly name: string;
  readonly message: string;
  /** Only the frames, as the message may be longer than the bound. */
  readonly stack?: string;
}

/**
 * Logs why the process ends when an exception or a rejection is handled nowhere.
 * Node then still ends the process with status 1. The logger must have written
 * a line when it returns.
 */
export function logUncaughtErrors(logger: () => Logger): void {
  process.on("uncaughtExceptionMonitor", (error: unknown, origin) => {
    logger().error("process ends by an error", {
      kind: origin === "unhandledRejection" ? "rejection" : "exception",
      error: errorFields(error),
    });
  });
}

/** The name, message and stack of anything that was thrown, clipped. */
export function errorFields(error: unknown): ErrorFields {
  if (!(error instanceof Error)) {
    return { name: typeof error, message: clipMessage(describe(error)) };
  }
  const { stack = "" } = error;
  const frames = stack.indexOf("\n    at ");
  return {
    name: String(error.name),
    message: clipMessage(String(error.message)),
    ...(frames >= 0 && {
      stack: stack.slice(frames + 1).slice(0, MAX_STACK_CHARACTERS),
    }),
  };
}

function clipMessage(text: string): string {
  return text.slice(0, MAX_MESSAGE_CHARACTERS);
}

function describe(value: unknown): string {
  try {
    return String(value);
  } catch {
    // An object without a prototype has no conversion to a string.
    return "no description";
  }
}
