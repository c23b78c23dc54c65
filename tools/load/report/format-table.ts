type Row = Readonly<Record<string, string | number | boolean>>;

const formatCell = (value: string | number | boolean | undefined): string => typeof value === 'number' && !Number.isInteger(value) ? String(Number(value.toPrecision(4))) : String(value ?? '');

/** Formats rows as a text table with a header line and aligned columns; fractions have four significant digits. */
export const formatTable = (rows: readonly Row[]): string => {
	const columns = [...new Set(rows.flatMap(row => Object.keys(row)))];
	const lines = [columns, ...rows.map(row => columns.map(column => formatCell(row[column])))];
	const widths = columns.map((_, index) => Math.max(...lines.map(line => line[index]?.length ?? 0)));
	return lines.map(line => line.map((cell, index) => index === 0 ? cell.padEnd(widths[index] ?? 0) : cell.padStart(widths[index] ?? 0)).join('  ').trimEnd()).join('\n') + '\n';
};
