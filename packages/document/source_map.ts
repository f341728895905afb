import {
  isMap,
  isScalar,
  isSeq,
  type LineCounter,
  type Pair,
  type YAMLMap,
  type Document as YamlDocument,
} from "yaml";
import { type DocumentFault, describeFound } from "./faults.ts";

type Path = readonly PropertyKey[];

/** Where the keys of a parsed text stand. */
export class SourceMap {
  readonly #yaml: YamlDocument;
  readonly #lines: LineCounter;
  readonly #index = new WeakMap<YAMLMap, ReadonlyMap<string, Pair>>();
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
        const pair = this.#pairs(node).get(String(step));
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

  /** Pairs by key; a search in the list would be quadratic in the faults. */
  #pairs(map: YAMLMap): ReadonlyMap<string, Pair> {
    const known = this.#index.get(map);
    if (known !== undefined) return known;
    const pairs = new Map<string, Pair>();
    for (const pair of map.items) {
      if (isScalar(pair.key)) pairs.set(String(pair.key.value), pair);
    }
    this.#index.set(map, pairs);
    return pairs;
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

/** Offset of a node in its text, if the text has it. */
export function rangeStart(node: unknown): number | undefined {
  const { range } = (node ?? {}) as { range?: readonly number[] | null };
  return range?.[0];
}
