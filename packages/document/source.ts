import { err, ok, type Result } from "neverthrow";
import {
  isScalar,
  LineCounter,
  parseDocument,
  visit,
  type Document as YamlDocument,
} from "yaml";
import type { z } from "zod";
import { type DocumentFault, formatFault, shorten } from "./faults.ts";
import { SourceMap, startOffset } from "./source_map.ts";

/**
 * Longest text of a section or settings file. A command with the text of a
 * section and its other fields must fit into a peer frame of 1 MiB.
 */
export const MAX_TEXT_BYTES = 512 * 1024;

/** The value of a valid text, and the locations of its keys. */
export interface ParsedText<T> {
  readonly value: T;
  readonly source: SourceMap;
}

interface SourceText {
  readonly file: string;
  readonly text: string;
}

/**
 * Parses YAML text and validates it by a schema; returns all errors at once.
 */
export function parseText<T>(
  input: SourceText,
  schema: z.ZodType<T>,
): Result<ParsedText<T>, DocumentFault[]> {
  const { file, text } = input;
  const bytes = new TextEncoder().encode(text).length;
  if (bytes > MAX_TEXT_BYTES) {
    const expected = `at most ${MAX_TEXT_BYTES} bytes`;
    const found = `${bytes} bytes`;
    const place = { file, line: 1, key: "" };
    return err([{ type: "text_too_long", ...place, expected, found }]);
  }
  return readYaml(input).andThen(({ value, source }) => {
    const result = schema.safeParse(value ?? {}, { reportInput: true });
    if (result.success) return ok({ value: result.data, source });
    const { issues } = result.error;
    const faults = issues.flatMap((issue) => toFaults(issue, source));
    return err(withoutDuplicates(faults));
  });
}

/** Options of the YAML parser for texts from operators. */
export const YAML_OPTIONS = {
  prettyErrors: false,
  logLevel: "silent",
  // The parser's check takes quadratic time: 6 s for 30,000 keys.
  uniqueKeys: false,
} as const;

function readYaml(
  input: SourceText,
): Result<ParsedText<unknown>, DocumentFault[]> {
  const { file, text } = input;
  try {
    const lines = new LineCounter();
    const yaml = parseDocument(text, { ...YAML_OPTIONS, lineCounter: lines });
    const problems = [...yaml.errors, ...yaml.warnings];
    const faults = problems.map(({ pos, message }) =>
      syntaxFault(file, { line: lines.linePos(pos[0]).line, found: message }),
    );
    faults.push(...findKeyFaults(yaml, { file, lines }));
    if (faults.length > 0) return err(withoutDuplicates(faults));
    // Nested aliases expand exponentially; no section needs many of them.
    const value: unknown = yaml.toJS({ maxAliasCount: 100 });
    return ok({ value, source: new SourceMap({ file, yaml, lines }) });
  } catch (error) {
    // The text has too many aliases, or too deep a nesting for the stack.
    const found = error instanceof Error ? error.message : String(error);
    return err([syntaxFault(file, { line: 1, found })]);
  }
}

function syntaxFault(
  file: string,
  { line, found }: { line: number; found: string },
): DocumentFault {
  return {
    type: "yaml_syntax",
    file,
    line: Math.max(1, line),
    key: "",
    expected: "valid YAML 1.2 without excessive nesting or aliases",
    found: shorten(found),
  };
}

function findKeyFaults(
  yaml: YamlDocument,
  { file, lines }: { file: string; lines: LineCounter },
): DocumentFault[] {
  const faults: DocumentFault[] = [];
  visit(yaml, {
    Map(_, { items }) {
      const seen = new Set<string>();
      for (const { key } of items) {
        const name = isScalar(key) ? String(key.value) : "";
        const line = lines.linePos(startOffset(key) ?? 0).line;
        const fault = { file, line, key: shorten(name) };
        if (!isScalar(key) || name === "__proto__") {
          // Zod's schemas of mappings silently ignore the key __proto__.
          const expected = "a key that is plain text, other than __proto__";
          faults.push({ ...fault, type: "invalid_key", expected });
        } else if (seen.has(name)) {
          const expected = "a key that its mapping does not have already";
          faults.push({ ...fault, type: "duplicate_key", expected });
        }
        seen.add(name);
      }
    },
  });
  return faults;
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
    const { type, found: detail } = issue.params as RefinementFault;
    return [source.fault(type, path, { expected, found: detail })];
  }
  return [source.fault("invalid_value", path, { expected, found })];
}

/** The parameters that a refinement of a schema adds to a Zod issue. */
export interface RefinementFault {
  readonly type: DocumentFault["type"];
  readonly found?: unknown;
}

function withoutDuplicates(faults: readonly DocumentFault[]): DocumentFault[] {
  const lines = new Map(faults.map((fault) => [formatFault(fault), fault]));
  return [...lines.values()].sort((a, b) => a.line - b.line);
}
