import test from 'ava';
import {nodeFlagsOf} from '../../scripts/write-code-caches.js';
import {compileProgram} from './program-script.js';

const source = 'const inner = value => value + 1; exports.value = inner(41); require(module.exports.value);';
const file = 'program.cjs';

test('a program runs from its code cache as it does from its source', t => {
	const loaded: unknown[] = [];
	const load = (name: unknown): void => {
		loaded.push(name);
	};

	const compiled = compileProgram({file, source});
	compiled.run(load);
	t.false(compiled.usesCache);
	const cached = compileProgram({file, source, codeCache: compiled.createCodeCache()});
	t.true(cached.usesCache);
	cached.run(load);
	t.deepEqual(loaded, [42, 42]);
});

test('a code cache that is empty, too short or of another source is ignored', t => {
	const codeCache = compileProgram({file, source: 'exports.value = 1;'}).createCodeCache();
	for (const [index, unfit] of [codeCache, new Uint8Array(), new Uint8Array([1, 2, 3])].entries()) {
		// V8 caches compiled scripts within a process, so that each case needs its own source.
		const compiled = compileProgram({file, source: `${source} // ${index}`, codeCache: unfit});
		t.false(compiled.usesCache);
		t.notThrows(() => {
			compiled.run(() => undefined);
		});
	}
});

test('a code cache of another source of the same length, or with a changed byte, is ignored', t => {
	const other = compileProgram({file, source: source.replace('+ 1', '+ 2')}).createCodeCache();
	const damaged = new Uint8Array(compileProgram({file, source}).createCodeCache());
	damaged.fill(255 - damaged.at(-1)!, -1);
	for (const codeCache of [other, damaged]) {
		const loaded: unknown[] = [];
		const compiled = compileProgram({file, source, codeCache});
		t.false(compiled.usesCache);
		compiled.run(value => {
			loaded.push(value);
		});
		t.deepEqual(loaded, [42]);
	}
});

test('code caches are made with the same flags as the deploy file starts a role with', t => {
	const deployFile = [
		'[roles.entry]',
		'run = "node --a=8 --b target/launcher.cjs entry --settings /etc/s.yaml"',
		'',
		'[roles.agent]',
		'run = "node --c=1 target/launcher.cjs agent --settings /etc/s.yaml"',
	].join('\n');
	t.deepEqual(nodeFlagsOf(deployFile, 'entry'), ['--a=8', '--b']);
	t.deepEqual(nodeFlagsOf(deployFile, 'agent'), ['--c=1']);
});
