import fc from 'fast-check';

/** Arbitraries of values that another writer may leave where a reader expects something else. For tests of readers. */

/** Depth at which converting a list to text or comparing it recursively exceeds the stack. */
const excessiveDepth = 50_000;

function nestedText(open: string, close: string): string {
	return `${open.repeat(excessiveDepth)}${close.repeat(excessiveDepth)}`;
}

/** JSON texts of single values: nested deeply, out of range, of another type, empty and very long. `1e400` is read as infinity. */
const oddTexts: readonly string[] = [
	nestedText('[', ']'),
	nestedText('{"a":', '}').replace(':}', ':0}'),
	'null',
	'true',
	'-1',
	'0',
	'0.5',
	'1e300',
	'-1e300',
	'1e400',
	'-1e400',
	'4294967296',
	'9007199254740993',
	'""',
	'"NaN"',
	'"Infinity"',
	'[]',
	'{}',
	'[null]',
	'[[]]',
	'{"":null}',
	'{"__proto__":{"kind":"x"}}',
	'"10.1.0.13:99999"',
	'"10.1.0.13:-1"',
	'"10.1.0.13"',
	'"999.1.1.1:80"',
	JSON.stringify('\u0000'),
	JSON.stringify('\uD800'),
	`"${'x'.repeat(200_000)}"`,
	'31536000000000000',
];

/**
JSON text of a value that a reader may not expect.

@example
fc.assert(fc.property(oddJson(), text => read(text)));
*/
export function oddJson(): fc.Arbitrary<string> {
	return fc.oneof({weight: 4, arbitrary: fc.constantFrom(...oddTexts)}, {weight: 1, arbitrary: fc.json()});
}

/** Stands for the replaced value while the rest is serialized; it contains nothing that JSON escapes. */
const placeholder = '--odd-value--';

type Path = ReadonlyArray<string | number>;

/** Returns the paths of all values within a value, including its own. */
function pathsOf(value: unknown, path: Path = []): readonly Path[] {
	const children = typeof value === 'object' && value !== null ? Object.entries(value) : [];
	return [path, ...children.flatMap(([name, child]) => pathsOf(child, [...path, name]))];
}

/** Returns a copy in which the value at a path is replaced; without a replacement it is removed. */
function replaceAt(value: unknown, path: Path, replacement: string | undefined): unknown {
	const [name, ...rest] = path;
	if (name === undefined || typeof value !== 'object' || value === null) {
		return replacement;
	}

	const changed = Object.entries(value).flatMap(([key, child]: [string, unknown]) => {
		const next = key === String(name) ? replaceAt(child, rest, replacement) : child;
		return next === undefined ? [] : [[key, next] as const];
	});
	return Array.isArray(value) ? changed.map(([, child]) => child) : Object.fromEntries(changed);
}

/**
JSON text of a valid value in which one value, at any depth, is missing or replaced by an unexpected one.

@example
fc.assert(fc.property(jsonWithOddField({port: 8166}), text => read(text)));
*/
export function jsonWithOddField(valid: unknown): fc.Arbitrary<string> {
	const value: unknown = structuredClone(valid);
	return fc.tuple(fc.constantFrom(...pathsOf(value)), fc.option(oddJson())).map(([path, odd]) => odd === null
		? JSON.stringify(replaceAt(value, path, undefined) ?? null)
		: JSON.stringify(replaceAt(value, path, placeholder)).replace(`"${placeholder}"`, () => odd));
}

/**
Bytes that may not be text.

@example
fc.assert(fc.property(oddBytes(), bytes => read(Buffer.from(bytes))));
*/
export function oddBytes(): fc.Arbitrary<Uint8Array> {
	return fc.uint8Array({maxLength: 400});
}
