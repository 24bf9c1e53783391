import {replaceControlCharacters} from './command-output.js';

/**
Returns rows under a heading as text in aligned columns.

@example
renderTable(['vm', 'tasks'], [['vm-1', '3']]);
// => 'vm    tasks\nvm-1  3'
*/
export function renderTable(heading: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const lines = [heading, ...rows].map(row => row.map(cell => replaceControlCharacters(cell)));
	const widths = heading.map((_, column) => Math.max(...lines.map(row => row[column]?.length ?? 0)));
	return lines.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n');
}
