import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {getAsset, isSea} from 'node:sea';
import {setFlagsFromString} from 'node:v8';
import {agentFlags} from './agent-flags.js';
import {codeCacheNameOf, compileProgram} from './program-script.js';

/*
Starts the program that belongs to the command. The agent has a bundle of its own, so that the source of the entry
is not in its memory. The binary holds both bundles; beside the binary they are files in the launcher's directory, with code
caches that the build may have made.
*/
const isAgent = process.argv[2] === 'agent';
const program = isAgent ? 'arbutushinge-agent.cjs' : 'arbutushinge.cjs';
if (isAgent) {
	setFlagsFromString(agentFlags);
}

function readIfPresent(file: string): Uint8Array | undefined {
	try {
		return readFileSync(file);
	} catch {
		// Without a cache the program only starts more slowly.
		return undefined;
	}
}

const load = createRequire(isSea() ? process.execPath : process.argv[1] ?? process.execPath);
const file = path.resolve(path.dirname(process.argv[1] ?? ''), program);
compileProgram(isSea()
	? {file: program, source: getAsset(program, 'utf8')}
	: {file, source: readFileSync(file, 'utf8'), codeCache: readIfPresent(codeCacheNameOf(file))}).run(load);
