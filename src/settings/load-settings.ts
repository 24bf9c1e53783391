import {readFile} from 'node:fs/promises';
import {err, ok, type Result} from 'true-myth/result';
import {
	isMap, isNode, isScalar, LineCounter, parseDocument, type Document,
} from 'yaml';
import {
	safeParse, type output, type $ZodIssue, type $ZodType,
} from 'zod/v4/core';
import {messageOf} from '../errors/message-of.js';
import {type TypedError} from '../errors/typed-error.js';
import {nearestName} from './nearest-name.js';
import {schemaFields, type SchemaField} from './schema-fields.js';

/** One problem in a settings file. */
export type SettingsProblem = Readonly<{
	file: string;
	/** Counted from 1. */
	line: number;
	/** Path of the field, such as `timings.heartbeatMs`; empty for the file as a whole. */
	field: string;
	expected: string;
	remedy: string;
}>;

export type SettingsErrorKind = 'settings-unreadable' | 'settings-invalid';

/** Why settings could not be loaded; `problems` holds every one that was found. */
export type SettingsError = TypedError<SettingsErrorKind> & Readonly<{problems: readonly SettingsProblem[]}>;

type Issue = $ZodIssue;
type Path = ReadonlyArray<string | number>;

/** A larger file is refused, since it is unlikely to be a settings file. */
const MAXIMUM_FILE_BYTES = 1_048_576;

/**
Reads a YAML settings file and checks it with the schema of its role.

Errors: `settings-unreadable` when the file cannot be read, `settings-invalid` when it is not YAML or breaks the schema.

@example
const settings = await loadSettings('entry.yaml', entrySettingsSchema);
if (settings.isErr) {
	console.error(settings.error.message);
}
*/
export async function loadSettings<Schema extends $ZodType>(
	file: string,
	schema: Schema,
	maximumBytes = MAXIMUM_FILE_BYTES,
): Promise<Result<output<Schema>, SettingsError>> {
	const text = await readSettingsFile(file, maximumBytes);
	return text.andThen(content => parseSettings(content, file, schema));
}

/**
Reads a settings file as text.

@example
const text = await readSettingsFile('entry.yaml');
*/
export async function readSettingsFile(file: string, maximumBytes = MAXIMUM_FILE_BYTES): Promise<Result<string, SettingsError>> {
	try {
		const content = await readFile(file);
		if (content.byteLength > maximumBytes) {
			return err(settingsUnreadable(file, `it is larger than ${maximumBytes} bytes`));
		}

		return ok(new TextDecoder('utf-8', {fatal: true}).decode(content));
	} catch (error) {
		return err(settingsUnreadable(file, messageOf(error)));
	}
}

/**
Checks the text of a settings file; `file` is only used in messages.

@example
parseSettings('role: entry\nentryid: e1', 'entry.yaml', entrySettingsSchema);
// => Err: entry.yaml:2: entryid: expected a known field; remedy: rename it to "entryId"
*/
export function parseSettings<Schema extends $ZodType>(
	text: string,
	file: string,
	schema: Schema,
): Result<output<Schema>, SettingsError> {
	const lineCounter = new LineCounter();
	const document = parseDocument(text, {lineCounter, prettyErrors: false});
	if (document.errors.length > 0) {
		return err(settingsInvalid(file, document.errors.map(error => ({
			file,
			line: Math.max(1, lineCounter.linePos(error.pos[0]).line),
			field: '',
			expected: `valid YAML, but ${lowerFirst(error.message)}`,
			remedy: 'correct the YAML at this line',
		}))));
	}

	let value: unknown;
	try {
		value = document.toJS();
	} catch (error) {
		return err(settingsInvalid(file, [{
			file, line: 1, field: '', expected: `few YAML aliases, but ${lowerFirst(messageOf(error))}`, remedy: 'write the values out instead of using aliases',
		}]));
	}

	const checked = safeParse(schema, value);
	if (checked.success) {
		return ok(checked.data);
	}

	const fields = schemaFields(schema);
	const lineOf = (path: Path): number => findLine(document, lineCounter, path);
	return err(settingsInvalid(file, checked.error.issues
		.flatMap(issue => describeIssue(issue, value, fields))
		.map(({path, expected, remedy}) => ({
			file, line: lineOf(path), field: path.join('.'), expected, remedy,
		}))
		.toSorted((left, right) => left.line - right.line)));
}

/**
Formats a problem the way compilers do, so that editors can jump to it.

@example
formatProblem({file: 'entry.yaml', line: 2, field: 'entryid', expected: 'a known field', remedy: 'rename it to "entryId"'});
// => 'entry.yaml:2: entryid: expected a known field; remedy: rename it to "entryId"'
*/
export function formatProblem(problem: SettingsProblem): string {
	const field = problem.field === '' ? '' : `${problem.field}: `;
	return `${problem.file}:${problem.line}: ${field}expected ${problem.expected}; remedy: ${problem.remedy}`;
}

type Description = Readonly<{path: Path; expected: string; remedy: string}>;

function describeIssue(issue: Issue, value: unknown, fields: readonly SchemaField[]): readonly Description[] {
	const path = issue.path.map(part => typeof part === 'number' ? part : String(part));
	if (issue.code === 'unrecognized_keys') {
		const knownNames = fieldsAt(fields, path).map(field => field.name);
		return issue.keys.map(key => {
			const nearest = nearestName(key, knownNames);
			return {
				path: [...path, key],
				expected: 'a known field',
				remedy: nearest === undefined ? `remove it; known fields here: ${knownNames.join(', ')}` : `rename it to "${nearest}"`,
			};
		});
	}

	const name = path.at(-1);
	const description = fieldsAt(fields, path.slice(0, -1)).find(field => field.name === name)?.description ?? '';
	const purpose = description === '' ? '' : ` (${description})`;
	const missing = valueAt(value, path) === undefined;
	return [{
		path,
		expected: missing ? `${describeExpectation(issue)}, but it is missing` : describeExpectation(issue),
		remedy: `${missing ? 'add' : 'change'} ${path.length === 0 ? 'the settings' : path.join('.')}${purpose}`,
	}];
}

const nounByType: Readonly<Record<string, string>> = {
	string: 'text',
	int: 'a whole number',
	number: 'a number',
	boolean: 'true or false',
	array: 'a list',
	object: 'a group of fields',
};

function describeExpectation(issue: Issue): string {
	switch (issue.code) {
		case 'invalid_type': {
			return nounByType[issue.expected] ?? issue.expected;
		}

		case 'invalid_value': {
			return issue.values.map(value => `"${String(value)}"`).join(' or ');
		}

		case 'too_small': {
			return issue.origin === 'array' ? `at least ${issue.minimum} items` : `a value of at least ${issue.minimum}`;
		}

		case 'too_big': {
			return issue.origin === 'array' ? `at most ${issue.maximum} items` : `a value of at most ${issue.maximum}`;
		}

		case 'invalid_format': {
			return issue.format === 'url' ? 'a URL such as http://127.0.0.1:8080' : `another form: ${issue.message}`;
		}

		case 'custom': {
			return `another form: ${issue.message}`;
		}

		case 'invalid_element':
		case 'invalid_key':
		case 'invalid_union':
		case 'not_multiple_of':
		case 'unrecognized_keys': {
			return `another value: ${lowerFirst(issue.message)}`;
		}
	}
}

function fieldsAt(fields: readonly SchemaField[], path: Path): readonly SchemaField[] {
	let current = fields;
	let items: readonly SchemaField[] = [];
	for (const part of path) {
		if (typeof part === 'number') {
			current = items;
			continue;
		}

		const field = current.find(candidate => candidate.name === part);
		current = field?.fields ?? [];
		items = field?.itemFields ?? [];
	}

	return current;
}

function valueAt(value: unknown, path: Path): unknown {
	let current: unknown = value;
	for (const part of path) {
		current = typeof current === 'object' && current !== null ? Object.entries(current).find(([name]) => name === String(part))?.[1] : undefined;
	}

	return current;
}

/** Returns the line of the field's own name, or of its nearest ancestor when the field is missing; counted from 1. */
function findLine(document: Document, lineCounter: LineCounter, path: Path): number {
	for (let {length} = path; length > 0; length--) {
		const parent: unknown = length === 1 ? document.contents : document.getIn(path.slice(0, length - 1), true);
		const name = path[length - 1];
		const key = isMap(parent) ? parent.items.find(pair => isScalar(pair.key) && String(pair.key.value) === String(name))?.key : document.getIn(path.slice(0, length), true);
		if (isNode(key) && key.range) {
			return lineCounter.linePos(key.range[0]).line;
		}
	}

	return 1;
}

function lowerFirst(text: string): string {
	return text.charAt(0).toLowerCase() + text.slice(1);
}

function settingsUnreadable(file: string, reason: string): SettingsError {
	return {
		kind: 'settings-unreadable',
		message: `${file} cannot be read: ${reason}`,
		remedy: 'name an existing, readable settings file in UTF-8',
		problems: [],
	};
}

function settingsInvalid(file: string, problems: readonly SettingsProblem[]): SettingsError {
	return {
		kind: 'settings-invalid',
		message: problems.map(problem => formatProblem(problem)).join('\n'),
		remedy: `correct ${file} and run check-settings on it`,
		problems,
	};
}
