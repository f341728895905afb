/** Lays rows out in columns under a heading. */
export function formatTable(
  heading: readonly string[],
  rows: readonly (readonly unknown[])[],
): string {
  const cells = [heading, ...rows].map((row) => row.map(formatCell));
  const widths = heading.map((_, column) =>
    Math.max(...cells.map((row) => row[column]?.length ?? 0)),
  );
  return cells
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join("  ")
        .trimEnd(),
    )
    .map((line) => `${line}\n`)
    .join("");
}

function formatCell(value: unknown): string {
  if (value === undefined || value === null || value === "") return "-";
  // A control character in a name could move the terminal's cursor.
  return [...String(value)].map((c) => (c < " " ? "?" : c)).join("");
}

/** Formats a value for programs. */
export function formatJson(value: unknown): string {
  return `${JSON.stringify(value, undefined, 2)}\n`;
}
