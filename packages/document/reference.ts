import * as z from "zod";

/** One key as the reference pages show it. */
export interface ReferenceRow {
  /** Path of the key; `*` stands for a name, `[]` for an item of a list. */
  readonly key: string;
  readonly unit: string;
  readonly required: boolean;
  readonly default: string;
  readonly bounds: string;
  readonly description: string;
}

/** What `z.toJSONSchema` gives for the fields of this package. */
interface Node {
  readonly type?: string;
  readonly properties?: Readonly<Record<string, Node>>;
  readonly additionalProperties?: Node | boolean;
  readonly items?: Node;
  readonly required?: readonly string[];
  readonly default?: unknown;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly minItems?: number;
  readonly maxItems?: number;
  readonly enum?: readonly string[];
  readonly unit?: string;
  readonly expected?: string;
  readonly description?: string;
}

/** Lists all keys of a schema in its order. */
export function describeSchema(schema: z.ZodType): ReferenceRow[] {
  const root = z.toJSONSchema(schema, { io: "input", unrepresentable: "any" });
  return describeNode(root as Node, { key: "", required: true });
}

type Place = { readonly key: string; readonly required: boolean };

function describeNode(node: Node, place: Place): ReferenceRow[] {
  const { key } = place;
  const own = key === "" || key.endsWith("*") ? [] : [toRow(node, place)];
  const prefix = key === "" ? "" : `${key}.`;
  const members = Object.entries(node.properties ?? {}).flatMap(
    ([name, member]) =>
      describeNode(member, {
        key: `${prefix}${name}`,
        required: node.required?.includes(name) ?? false,
      }),
  );
  const value = node.additionalProperties;
  const named =
    typeof value === "object"
      ? describeNode(value, { key: `${prefix}*`, required: false })
      : [];
  const items = node.items?.properties
    ? describeNode(node.items, { key: `${key}[]`, required: true }).slice(1)
    : [];
  return [...own, ...members, ...named, ...items];
}

function toRow(node: Node, { key, required }: Place): ReferenceRow {
  return {
    key,
    unit: node.unit ?? "",
    required,
    default: node.default === undefined ? "" : JSON.stringify(node.default),
    bounds: describeBounds(node),
    description: node.description ?? "",
  };
}

function describeBounds(node: Node): string {
  if (node.enum !== undefined) return node.enum.join(" or ");
  if (node.type === "boolean") return "true or false";
  if (node.type === "array") {
    return `${node.minItems ?? 0} to ${node.maxItems} items`;
  }
  if (node.type === "number" || node.type === "integer") {
    return `${node.minimum} to ${node.maximum}`;
  }
  return node.expected ?? "a mapping";
}

/** Formats rows as a Markdown table. */
export function formatReference(rows: readonly ReferenceRow[]): string {
  const lines = rows.map((row) => {
    const value = row.required ? "required" : row.default || "optional";
    const cells = [`\`${row.key}\``, row.unit || "-", value];
    return `| ${[...cells, row.bounds || "-", row.description].join(" | ")} |`;
  });
  return [
    "| key | unit | default | bounds | meaning |",
    "|---|---|---|---|---|",
    ...lines,
    "",
  ].join("\n");
}
