import type {Row} from '@valelead/language';

const formatTable = (rows: readonly Row[]): string => {
	const [first] = rows;
	if (!first) {
		return '(no rows)';
	}

	const fields = Object.keys(first);
	const lines = [fields, ...rows.map(row => fields.map(field => String(row[field] ?? '')))];
	const widths = fields.map((_, column) => Math.max(...lines.map(line => line[column].length)));
	return lines.map(line => line.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd()).join('\n');
};

/** Formats rows as a table for people or as JSON for programs. */
export const formatRows = (rows: readonly Row[], output: 'table' | 'json'): string => output === 'json' ? JSON.stringify(rows) : formatTable(rows);
