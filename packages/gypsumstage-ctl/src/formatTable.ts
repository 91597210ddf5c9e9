const COLUMN_GAP = "  ";

/**
 * Formats rows as a table of left-aligned columns.
 *
 * @param titles - the column titles
 * @param rows - the cells of each row; cells beyond the last title are not padded
 * @returns the lines of the table, joined by line feeds
 */
export const formatTable = (titles: readonly string[], rows: readonly (readonly string[])[]): string => {
    const allRows = [titles, ...rows];
    const widths = titles.map((_title, column) =>
        Math.max(...allRows.map(row => (row[column] ?? "").length))
    );
    const formatRow = (row: readonly string[]): string =>
        row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(COLUMN_GAP).trimEnd();
    return allRows.map(formatRow).join("\n");
};
