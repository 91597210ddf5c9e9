const GAP = "  ";

/**
 * Lays out rows as a table.
 *
 * @param head - the column titles
 * @param rows - the cells
 * @returns the lines
 */
export const formatTable = (head: readonly string[], rows: readonly (readonly string[])[]): string => {
    const all = [head, ...rows];
    const widths = head.map((_title, column) => Math.max(...all.map(row => (row[column] ?? "").length)));
    const line = (row: readonly string[]): string =>
        row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(GAP).trimEnd();
    return all.map(line).join("\n");
};
