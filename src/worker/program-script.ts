import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import path from 'node:path';
import {Script} from 'node:vm';

/** A bundled CommonJS program that is compiled and was not run yet. */
export type ProgramScript = Readonly<{
	/** Runs it with the function that loads its modules. */
	run: (load: (name: string) => unknown) => void;
	/** False when the code cache was of no use: it is of another source, version or flags, or damaged. */
	usesCache: boolean;
	/** Makes a code cache of all functions that were compiled so far. */
	createCodeCache: () => Uint8Array;
}>;

/** Name of the file beside a program that holds its code cache. */
export const codeCacheNameOf = (program: string): string => `${program}.cache`;

/** Bytes of the digest that a code cache begins with. */
const digestBytes = 32;

/** V8 compares no more than the length of the source, and does not notice a byte that changed in the cache. */
function digestOf(source: string, code: Uint8Array): Buffer {
	return createHash('sha256').update(source).update(code).digest();
}

/** The code of a cache that was made of this source and is whole. */
function codeOf(source: string, codeCache: Uint8Array): Uint8Array | undefined {
	const code = codeCache.subarray(digestBytes);
	return digestOf(source, code).equals(codeCache.subarray(0, digestBytes)) ? code : undefined;
}

/**
Compiles a bundled program; with a code cache of the same source, V8 version and flags, V8 takes the functions from there. Any
other cache is ignored.

@example
compileProgram({file: 'target/arbutushinge-agent.cjs', source, codeCache}).run(createRequire(file));
*/
export function compileProgram({file, source, codeCache}: Readonly<{file: string; source: string; codeCache?: Uint8Array | undefined}>): ProgramScript {
	const cachedData = codeCache && codeOf(source, codeCache);
	const script = new Script(`(function (exports, require, module, __filename, __dirname) {${source}\n})`, {
		filename: file, ...(cachedData !== undefined && {cachedData}),
	});
	return {
		run(load) {
			const module = {exports: {}};
			script.runInThisContext()(module.exports, load, module, file, path.dirname(file)); // eslint-disable-line @typescript-eslint/no-unsafe-call
		},
		usesCache: cachedData !== undefined && script.cachedDataRejected === false,
		createCodeCache() {
			const code = script.createCachedData();
			return Buffer.concat([digestOf(source, code), code]);
		},
	};
}
