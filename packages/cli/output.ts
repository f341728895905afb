/** Formats a heading and rows as a table with aligned columns. */
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
  // Control characters in a name could send commands to the terminal.
  return [...String(value)].map((c) => (c < " " ? "?" : c)).join("");
}

/** Formats a value as indented JSON. */
export function formatJson(value: unknown): string {
  return `${JSON.stringify(value, undefined, 2)}\n`;
}
