/** Tables of text for people. */

/** One row of a table, a cell for each heading. */
export type TableRow = readonly string[];

/** Formats columns of equal width, the heading above. */
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
