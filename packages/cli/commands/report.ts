import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { Command, Option } from "clipanion";
import {
  type Loss,
  LossReport,
  type LossRow,
  parseCallLine,
  type SlotUse,
} from "#reports";
import { type CliContext, createLogger } from "../context.ts";
import { EXIT } from "../exit_codes.ts";
import { formatJson, formatTable } from "../output.ts";

const DEFAULT_WINDOW_S = 4;
const MS_PER_S = 1_000;

/** `mangobank report [FILE...]` */
export class ReportCommand extends Command<CliContext> {
  static override paths = [["report"]];

  static override usage = Command.Usage({
    category: "Observe",
    description: "Split lost calls in recorded logs by where they were lost",
    details: `
      Reads the logs of entries from files, or from standard input, and prints
      what became of the calls by time and by class, and how the slots of the
      servers were used. Other lines are passed over.

      Exit codes: 0 printed, 1 a file can't be read, 2 wrong window, 7 no call
      found.
    `,
    examples: [["Look at one evening", "mangobank report entry-*.log"]],
  });

  readonly files = Option.Rest({ name: "FILE" });

  readonly window = Option.String("--window-s", String(DEFAULT_WINDOW_S), {
    description: "Length of the windows in seconds",
  });

  readonly json = Option.Boolean("--json", false, {
    description: "Print JSON for programs",
  });

  override async execute(): Promise<number> {
    const log = createLogger(this.context);
    const windowMs = Number(this.window) * MS_PER_S;
    if (!(windowMs > 0) || !Number.isFinite(windowMs)) {
      log.error(`--window-s must be a number above 0, not ${this.window}`);
      return EXIT.invalid;
    }
    const report = new LossReport({ windowMs });
    let calls = 0;
    try {
      for await (const line of this.#lines()) {
        const call = parseCallLine(line);
        if (!call) continue;
        report.add(call);
        calls += 1;
      }
    } catch (error) {
      log.error(error instanceof Error ? error.message : String(error));
      return EXIT.failed;
    }
    if (calls === 0) {
      log.error("no line tells of a call");
      return EXIT.not_found;
    }
    const { stdout } = this.context;
    stdout.write(
      this.json ? formatJson(toJsonReport(report)) : toTextReport(report),
    );
    return EXIT.done;
  }

  async *#lines(): AsyncIterable<string> {
    if (this.files.length === 0) yield* readLines(this.context.stdin);
    for (const file of this.files) yield* readLines(createReadStream(file));
  }
}

async function* readLines(input: NodeJS.ReadableStream): AsyncIterable<string> {
  // The iterator of readline does not throw errors of the stream that occur
  // before the first line.
  const streamError = new Promise<never>((_, reject) =>
    input.once("error", reject),
  );
  streamError.catch(() => undefined);
  const lines = createInterface({ input, crlfDelay: Number.POSITIVE_INFINITY });
  const iterator = lines[Symbol.asyncIterator]();
  for (;;) {
    const next = await Promise.race([iterator.next(), streamError]);
    if (next.done) return;
    yield next.value;
  }
}

function toJsonReport(report: LossReport) {
  const rows = (list: [string, LossRow][], key: string) =>
    list.map(([value, { calls, losses }]) => {
      return { [key]: value, calls, ...Object.fromEntries(losses) };
    });
  return {
    windows: rows(windowRows(report), "from"),
    classes: rows(report.classes(), "class"),
    slots: report.slots().map(([choice, use]) => ({ choice, ...use })),
  };
}

function toTextReport(report: LossReport): string {
  return [
    formatLosses("FROM", windowRows(report)),
    formatLosses("CLASS", report.classes()),
    formatSlots(report.slots()),
  ].join("\n");
}

function formatLosses(title: string, rows: [string, LossRow][]): string {
  const losses = new Set<Loss>(["in_objective"]);
  for (const [, row] of rows) {
    for (const loss of row.losses.keys()) losses.add(loss);
  }
  const columns = [...losses].sort();
  const heading = columns.map((loss) =>
    loss.toUpperCase().replaceAll("_", " "),
  );
  return formatTable(
    [title, "CALLS", ...heading],
    rows.map(([name, row]) => [
      name,
      row.calls,
      ...columns.map((loss) => row.losses.get(loss)),
    ]),
  );
}

function formatSlots(rows: [string, SlotUse][]): string {
  return formatTable(
    ["SERVERS CHOSEN", "ATTEMPTS", "CUT", "MEAN MS", "SLOT SECONDS"],
    rows.map(([name, { attempts, cut, ranMs }]) => [
      name,
      attempts,
      cut,
      Math.round(ranMs / attempts),
      (ranMs / MS_PER_S).toFixed(1),
    ]),
  );
}

function windowRows(report: LossReport): [start: string, row: LossRow][] {
  return report
    .windows()
    .map(([start, row]) => [new Date(start).toISOString(), row]);
}
