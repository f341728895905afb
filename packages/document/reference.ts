import * as z from "zod";

/** A row of the reference documentation: one key of a schema. */
export interface ReferenceRow {
  /** Path of the key; `*` stands for any name, `[]` for an item of a list. */
  readonly key: string;
  readonly unit: string;
  readonly required: boolean;
  readonly default: string;
  readonly bounds: string;
  readonly description: string;
}

/** The part of JSON Schema that `z.toJSONSchema` creates for these fields. */
interface SchemaNode {
  readonly type?: string;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly additionalProperties?: SchemaNode | boolean;
  readonly items?: SchemaNode;
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

/** Lists all keys of a schema, in the order of the schema. */
export function describeSchema(schema: z.ZodType): ReferenceRow[] {
  const root = z.toJSONSchema(schema, { io: "input", unrepresentable: "any" });
  return describeNode(root as SchemaNode, { key: "", required: true });
}

type KeyPlace = { readonly key: string; readonly required: boolean };

function describeNode(node: SchemaNode, place: KeyPlace): ReferenceRow[] {
  const { key } = place;
  const ownRow = key === "" || key.endsWith("*") ? [] : [toRow(node, place)];
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
  return [...ownRow, ...members, ...named, ...items];
}

function toRow(node: SchemaNode, { key, required }: KeyPlace): ReferenceRow {
  return {
    key,
    unit: node.unit ?? "",
    required,
    default: node.default === undefined ? "" : JSON.stringify(node.default),
    bounds: describeBounds(node),
    description: node.description ?? "",
  };
}

function describeBounds(node: SchemaNode): string {
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
