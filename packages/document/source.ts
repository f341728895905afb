import { err, ok, type Result } from "neverthrow";
import {
  isMap,
  isScalar,
  isSeq,
  LineCounter,
  parseDocument,
  visit,
  type Document as YamlDocument,
} from "yaml";
import type { z } from "zod";
import {
  type DocumentFault,
  describeFound,
  formatFault,
  shorten,
} from "./faults.ts";

/**
 * Longest text of one section or settings file. A change must fit in a peer
 * frame of 1 MiB together with its other fields.
 */
export const MAX_TEXT_BYTES = 512 * 1024;

type Path = readonly PropertyKey[];

/** Where the keys of a parsed text stand. */
export class SourceMap {
  readonly #yaml: YamlDocument;
  readonly #lines: LineCounter;
  readonly file: string;

  constructor(options: {
    file: string;
    yaml: YamlDocument;
    lines: LineCounter;
  }) {
    this.file = options.file;
    this.#yaml = options.yaml;
    this.#lines = options.lines;
  }

  /** Line of a key, or of the nearest key above it that exists. */
  line(path: Path): number {
    let node: unknown = this.#yaml.contents;
    let offset = rangeStart(node) ?? 0;
    for (const step of path) {
      if (isMap(node)) {
        const pair = node.items.find(
          ({ key }) => isScalar(key) && String(key.value) === String(step),
        );
        if (pair === undefined) break;
        offset = rangeStart(pair.key) ?? offset;
        node = pair.value;
      } else if (isSeq(node)) {
        const item = node.items[Number(step)];
        if (item === undefined) break;
        offset = rangeStart(item) ?? offset;
        node = item;
      } else break;
    }
    return Math.max(1, this.#lines.linePos(offset).line);
  }

  /** Makes a fault at a key. */
  fault(
    type: DocumentFault["type"],
    path: Path,
    about: { expected: string; found?: unknown },
  ): DocumentFault {
    const found = describeFound(about.found);
    return {
      type,
      file: this.file,
      line: this.line(path),
      key: path.map(String).join("."),
      expected: about.expected,
      ...(found === undefined ? {} : { found }),
    };
  }
}

function rangeStart(node: unknown): number | undefined {
  const { range } = (node ?? {}) as { range?: readonly number[] | null };
  return range?.[0];
}

/** A text that follows its schema. */
export interface Parsed<T> {
  readonly value: T;
  readonly source: SourceMap;
}

/** Reads YAML text by a schema and reports all errors at once. */
export function parseText<T>(
  input: { readonly file: string; readonly text: string },
  schema: z.ZodType<T>,
): Result<Parsed<T>, DocumentFault[]> {
  const { file, text } = input;
  const bytes = new TextEncoder().encode(text).length;
  if (bytes > MAX_TEXT_BYTES) {
    const expected = `at most ${MAX_TEXT_BYTES} bytes`;
    const found = `${bytes} bytes`;
    const place = { file, line: 1, key: "" };
    return err([{ type: "text_too_long", ...place, expected, found }]);
  }
  const lines = new LineCounter();
  const yaml = parseDocument(text, {
    lineCounter: lines,
    prettyErrors: false,
    logLevel: "silent",
  });
  const source = new SourceMap({ file, yaml, lines });
  const problems = [...yaml.errors, ...yaml.warnings];
  const syntax: DocumentFault[] = problems.map((error) => ({
    type: "yaml_syntax",
    file,
    line: Math.max(1, lines.linePos(error.pos[0]).line),
    key: "",
    expected: "valid YAML 1.2 with unique keys",
    found: shorten(error.message),
  }));
  visit(yaml, {
    Pair(_, { key }) {
      if (!isScalar(key) || key.value !== "__proto__") return;
      const line = lines.linePos(rangeStart(key) ?? 0).line;
      // Schemas of mappings skip this key in silence.
      const fault = { type: "invalid_key" as const, file, line };
      syntax.push({ ...fault, key: "__proto__", expected: "another key" });
    },
  });
  if (syntax.length > 0) return err(withoutRepeats(syntax));
  const plain = toPlain(yaml);
  if (plain.isErr()) {
    const about = { expected: "no excessive aliases", found: plain.error };
    return err([source.fault("yaml_syntax", [], about)]);
  }
  const result = schema.safeParse(plain.value ?? {}, { reportInput: true });
  if (result.success) return ok({ value: result.data, source });
  const faults = result.error.issues.flatMap((issue) =>
    toFaults(issue, source),
  );
  return err(withoutRepeats(faults));
}

function toPlain(yaml: YamlDocument): Result<unknown, string> {
  try {
    return ok(yaml.toJS({ maxAliasCount: 100 }));
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error));
  }
}

function toFaults(issue: z.core.$ZodIssue, source: SourceMap): DocumentFault[] {
  const { path, message: expected, input: found } = issue;
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) =>
      source.fault("unknown_key", [...path, key], { expected }),
    );
  }
  if (issue.code === "invalid_type" && found === undefined) {
    return [source.fault("missing_key", path, { expected })];
  }
  if (issue.code === "custom" && issue.params?.type !== undefined) {
    const { type, found: detail } = issue.params as LocalFault;
    return [source.fault(type, path, { expected, found: detail })];
  }
  return [source.fault("invalid_value", path, { expected, found })];
}

/** What a refinement of a schema adds to an issue. */
export interface LocalFault {
  readonly type: DocumentFault["type"];
  readonly found?: unknown;
}

function withoutRepeats(faults: readonly DocumentFault[]): DocumentFault[] {
  const lines = new Map(faults.map((fault) => [formatFault(fault), fault]));
  return [...lines.values()].sort((a, b) => a.line - b.line);
}
