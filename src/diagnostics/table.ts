/** Formats plain-text tables. */

/** One row of a table, with one cell for each heading. */
export type TableRow = readonly string[];

/** Formats a table in which each column is as wide as its widest cell, headings first. */
export function formatTable(
  headings: TableRow,
  rows: readonly TableRow[],
): string {
  const widths = headings.map((heading, column) =>
    Math.max(heading.length, ...rows.map(row => (row[column] ?? '').length)),
  );
  const lines = [headings, ...rows].map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column]))
      .join('  ')
      .trimEnd(),
  );
  return `${lines.join('\n')}\n`;
}
