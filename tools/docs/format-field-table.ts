import type {FieldRow} from './field-row.js';

/** Formats schema fields as a Markdown table; escapes `|` in types. */
export const formatFieldTable = (rows: readonly FieldRow[]): string => {
	const lines = rows.map(row => `| \`${row.path}\` | ${row.type.replaceAll('|', String.raw`\|`)} | ${row.default} | ${row.description} |`);
	return ['| Key | Type and range | Default | Meaning |', '| --- | --- | --- | --- |', ...lines].join('\n');
};
