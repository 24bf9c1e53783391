import {readdir, readFile} from 'node:fs/promises';
import path from 'node:path';
import test from 'ava';

const root = path.join(import.meta.dirname, '../..');

async function readSources(): Promise<string> {
	const names = await Promise.all(['src', 'platform'].map(async folder => {
		const inFolder = await readdir(path.join(root, folder), {recursive: true});
		return inFolder.map(name => path.join(folder, name));
	}));
	const files = names.flat().filter(name => name.endsWith('.ts') && !name.endsWith('.test.ts') && !name.includes('generated')).toSorted();
	const texts = await Promise.all(files.map(async name => readFile(path.join(root, name), 'utf8')));
	// The examples in doc comments emit no events.
	return texts.join('\n').replaceAll(/\/\*\*.*?\*\//gsv, '');
}

function namesIn(text: string, ...patterns: readonly RegExp[]): ReadonlySet<string> {
	return new Set(patterns.flatMap(pattern => [...text.matchAll(pattern)].map(match => match.groups!.name!)));
}

/** Returns the names in the first column of the table below a heading. */
function namesInTable(page: string, heading: string): ReadonlySet<string> {
	const section = page.split(`## ${heading}\n`)[1]?.split('\n## ')[0] ?? '';
	const rows = section.split('\n').filter(line => line.startsWith('| `')).map(line => line.split('|')[1]!);
	return namesIn(rows.join('\n'), /`(?<name>[^`]+)`/gv);
}

const difference = (left: ReadonlySet<string>, right: ReadonlySet<string>): readonly string[] => [...left].filter(name => !right.has(name)).toSorted();

test('the page lists every metric that the sources emit', async t => {
	const sources = await readSources();
	const emitted = new Set([...namesIn(
		sources,
		/metrics\.(?:increment|gauge|timingMs)\('(?<name>[^']+)'/gv,
		/metric: ['`](?<name>[\w.\-]+)/gv,
		/'(?<name>(?:claims|leases|plans)\.[\w.]+|evictions|quarantines)',\n/gv,
	)].map(name => name.endsWith('.') ? `${name}KIND` : name));
	const listed = namesInTable(await readFile(path.join(root, 'docs/OPERATIONS.md'), 'utf8'), 'Metrics');
	t.true(emitted.size > 15);
	t.deepEqual(difference(emitted, listed), []);
	t.deepEqual([...listed].filter(name => !sources.includes(name.replace(/KIND$/v, ''))), []);
});

test('the page lists every event name that the sources log', async t => {
	const sources = await readSources();
	const unloggedRecords = new Set(['entry-alive', 'key-claimed', 'keys-expired']);
	const records = namesIn(sources.split('clusterRecordSchema = ')[1]!.split(']).readonly()')[0]!, /kind: z\.literal\('(?<name>[^']+)'/gv);
	const called = namesIn(
		sources,
		/(?:eventLog|log)\.(?:debug|info|warn|error)\('(?<name>[^']+)'/gv,
		/event: '(?<name>[^']+)'/gv,
		/lifecycleLog\('(?<name>[^']+)'/gv,
	);
	const listed = namesInTable(await readFile(path.join(root, 'docs/OPERATIONS.md'), 'utf8'), 'Log events');
	const logged = new Set([...called, ...records].filter(name => !unloggedRecords.has(name)));
	t.true(records.size > 20);
	t.deepEqual(difference(logged, listed), []);
	t.deepEqual(difference(listed, logged), []);
});
