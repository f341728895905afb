import {
  isMap,
  isScalar,
  isSeq,
  type LineCounter,
  type Pair,
  type YAMLMap,
  type Document as YamlDocument,
} from "yaml";
import { type DocumentFault, formatFoundValue } from "./faults.ts";

type KeyPath = readonly PropertyKey[];

/** Maps the keys of a parsed YAML text to their lines. */
export class SourceMap {
  readonly #yaml: YamlDocument;
  readonly #lines: LineCounter;
  readonly #pairsByMapping = new WeakMap<YAMLMap, ReadonlyMap<string, Pair>>();
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

  /** Line of a key, or of its nearest existing parent. */
  line(path: KeyPath): number {
    let node: unknown = this.#yaml.contents;
    let offset = startOffset(node) ?? 0;
    for (const step of path) {
      if (isMap(node)) {
        const pair = this.#pairs(node).get(String(step));
        if (pair === undefined) break;
        offset = startOffset(pair.key) ?? offset;
        node = pair.value;
      } else if (isSeq(node)) {
        const item = node.items[Number(step)];
        if (item === undefined) break;
        offset = startOffset(item) ?? offset;
        node = item;
      } else break;
    }
    return Math.max(1, this.#lines.linePos(offset).line);
  }

  /**
   * The pairs of a mapping by key. Searching the list instead would take
   * quadratic time if many keys have faults.
   */
  #pairs(map: YAMLMap): ReadonlyMap<string, Pair> {
    const cached = this.#pairsByMapping.get(map);
    if (cached !== undefined) return cached;
    const pairs = new Map<string, Pair>();
    for (const pair of map.items) {
      if (isScalar(pair.key)) pairs.set(String(pair.key.value), pair);
    }
    this.#pairsByMapping.set(map, pairs);
    return pairs;
  }

  /** Creates a fault at a key. */
  fault(
    type: DocumentFault["type"],
    path: KeyPath,
    details: { expected: string; found?: unknown },
  ): DocumentFault {
    const found = formatFoundValue(details.found);
    return {
      type,
      file: this.file,
      line: this.line(path),
      key: path.map(String).join("."),
      expected: details.expected,
      ...(found === undefined ? {} : { found }),
    };
  }
}

/** Offset of a YAML node in its text; undefined if the node is not from it. */
export function startOffset(node: unknown): number | undefined {
  const { range } = (node ?? {}) as { range?: readonly number[] | null };
  return range?.[0];
}
