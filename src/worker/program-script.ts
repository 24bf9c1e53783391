import path from 'node:path';
import {Script} from 'node:vm';

/** A bundled CommonJS program that is compiled and was not run yet. */
export type ProgramScript = Readonly<{
	/** Runs it with the function that loads its modules. */
	run: (load: (name: string) => unknown) => void;
	/** False when V8 had no use for the code cache: it is of another version or of other flags. */
	usesCache: boolean;
	/** Makes a code cache of all functions that were compiled so far. */
	createCodeCache: () => Uint8Array;
}>;

/** Name of the file beside a program that holds its code cache. */
export const codeCacheNameOf = (program: string): string => `${program}.cache`;

/**
Compiles a bundled program; with a code cache of the same source, V8 version and flags, V8 takes the functions from there. Any
other cache is ignored.

@example
compileProgram({file: 'target/arbutushinge-agent.cjs', source, codeCache}).run(createRequire(file));
*/
export function compileProgram({file, source, codeCache}: Readonly<{file: string; source: string; codeCache?: Uint8Array | undefined}>): ProgramScript {
	const script = new Script(`(function (exports, require, module, __filename, __dirname) {${source}\n})`, {
		filename: file, ...(codeCache !== undefined && {cachedData: codeCache}),
	});
	return {
		run(load) {
			const module = {exports: {}};
			script.runInThisContext()(module.exports, load, module, file, path.dirname(file)); // eslint-disable-line @typescript-eslint/no-unsafe-call
		},
		usesCache: codeCache !== undefined && script.cachedDataRejected === false,
		createCodeCache: () => script.createCachedData(),
	};
}
