import { fitLine, type Point, valueAt } from "./fit.ts";

/** One quantity, measured at several sizes. */
export interface Row {
  readonly quantity: string;
  readonly unit: string;
  /** What the size of a point counts, such as entries. */
  readonly per: string;
  readonly points: readonly Point[];
  /** Size to which the fitted line is extrapolated. */
  readonly target?: number;
}

/** Formats rows as a Markdown table. */
export function formatTable(rows: readonly Row[]): string {
  const lines = rows.map((row) => {
    const line = fitLine(row.points);
    const figures = row.points
      .map(({ size, value }) => `${size}: ${formatNumber(value)}`)
      .join(", ");
    const target =
      row.target === undefined
        ? "–"
        : `${formatNumber(valueAt(line, row.target))} at ${row.target}`;
    return [
      row.quantity,
      row.unit,
      row.per,
      figures,
      formatNumber(line.intercept),
      formatNumber(line.slope),
      `${(line.maxRelativeError * 100).toFixed(0)}%`,
      Number.isFinite(line.slopeRatio) ? line.slopeRatio.toFixed(1) : "–",
      target,
    ];
  });
  const head = [
    "quantity",
    "unit",
    "size is",
    "measured",
    "intercept",
    "slope",
    "worst",
    "bend",
    "extrapolated",
  ];
  return [head, head.map(() => "---"), ...lines]
    .map((cells) => `| ${cells.join(" | ")} |`)
    .join("\n");
}

function formatNumber(value: number): string {
  const size = Math.abs(value);
  if (size >= 1_000) return Math.round(value).toLocaleString("en-GB");
  if (size >= 100) return value.toFixed(0);
  if (size >= 10) return value.toFixed(1);
  if (size >= 1) return value.toFixed(2);
  return value.toPrecision(2);
}
