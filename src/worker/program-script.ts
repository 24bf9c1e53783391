import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import path from 'node:path';
import {Script} from 'node:vm';

/** A bundled CommonJS program, compiled and ready to run. */
export type ProgramScript = Readonly<{
	/** Runs the program; `load` is its `require` function. */
	run: (load: (name: string) => unknown) => void;
	/** False without a code cache, and when it is damaged or was made from another source, V8 version or flags. */
	usesCache: boolean;
	/** Returns a code cache of all functions that were compiled so far. */
	createCodeCache: () => Uint8Array;
}>;

/** Returns the path of a program's code cache. */
export const codeCachePathOf = (program: string): string => `${program}.cache`;

/** Length of the SHA-256 digest at the start of a code cache. */
const digestBytes = 32;

/** Returns the digest of a source and its code. V8 itself compares only the length of the source, and does not detect a changed byte in the cache. */
function digestOf(source: string, code: Uint8Array): Buffer {
	return createHash('sha256').update(source).update(code).digest();
}

/** Returns the code of a cache; undefined when the cache is damaged or was made from another source. */
function verifiedCodeOf(source: string, codeCache: Uint8Array): Uint8Array | undefined {
	const code = codeCache.subarray(digestBytes);
	return digestOf(source, code).equals(codeCache.subarray(0, digestBytes)) ? code : undefined;
}

/**
Compiles a bundled program. V8 loads the functions from the code cache if it was made from the same source with the same V8
version and flags; any other cache is ignored.

@example
compileProgram({file: 'target/arbutushinge-agent.cjs', source, codeCache}).run(createRequire(file));
*/
export function compileProgram({file, source, codeCache}: Readonly<{file: string; source: string; codeCache?: Uint8Array | undefined}>): ProgramScript {
	const cachedData = codeCache && verifiedCodeOf(source, codeCache);
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
