import {type $ZodType} from 'zod/v4/core';
import {schemaFields, type SchemaField} from '../src/settings/schema-fields.js';
import {settingsSchemas} from '../src/settings/settings-schemas.js';

const titles = {
	entry: '`arbutushinge entry`',
	agent: '`arbutushinge agent`',
	deployment: 'Deployment',
} as const;

/**
Renders docs/settings.md from the settings schemas.

@example
await writeFile('docs/settings.md', await renderSettingsPage());
*/
export async function renderSettingsPage(): Promise<string> {
	const sections: string[] = [];
	for (const role of ['entry', 'agent', 'deployment'] as const) {
		const schema: $ZodType = await settingsSchemas[role]();
		sections.push(`## ${titles[role]}`, '', '| field | type | default | meaning |', '|---|---|---|---|', ...renderRows(schemaFields(schema), '', ''), '');
	}

	return [
		'# Settings',
		'',
		'Settings are YAML files. `arbutushinge check-settings FILE` checks one and names file, line, field and remedy of every problem.',
		'Names carry their unit: `Ms` milliseconds, `Mb` megabytes, `Bytes` bytes, `Milli` thousandths (1,000 `processorsMilli` are one core).',
		'Examples are in `examples/`. This page is generated from the schemas by `npm run generate:settings-page`.',
		'',
		...sections,
	].join('\n').trimEnd() + '\n';
}

/** Renders a row for each field; a field without a description has the description of its group. */
function renderRows(fields: readonly SchemaField[], prefix: string, groupDescription: string): readonly string[] {
	return fields.flatMap(field => field.fields.length > 0
		? renderRows(field.fields, `${prefix}${field.name}.`, field.description || groupDescription)
		: [`| \`${prefix}${field.name}\` | ${field.type}${renderBounds(field)} | ${renderDefault(field)} | ${escapeCell(field.description || groupDescription)} |`]);
}

function renderBounds({minimum, maximum}: SchemaField): string {
	if (minimum !== undefined && maximum !== undefined) {
		return `, ${minimum} to ${maximum}`;
	}

	return minimum === undefined ? '' : `, at least ${minimum}`;
}

function renderDefault(field: SchemaField): string {
	if (field.required) {
		return 'required';
	}

	return field.default === undefined ? 'none' : `\`${JSON.stringify(field.default)}\``;
}

function escapeCell(text: string): string {
	return text.replaceAll('|', String.raw`\|`);
}
