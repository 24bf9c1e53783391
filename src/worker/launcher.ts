import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import {getAsset, isSea} from 'node:sea';
import {setFlagsFromString} from 'node:v8';
import {agentV8Flags} from './agent-v8-flags.js';
import {codeCachePathOf, compileProgram} from './program-script.js';

/*
Starts the bundle for the given command. The agent has its own bundle, so that its process does not hold the entry's source in memory.
The single executable contains both bundles as assets. Otherwise they are files in the launcher's directory, with code caches
if the build has made them.
*/
const isAgent = process.argv[2] === 'agent';
const program = isAgent ? 'arbutushinge-agent.cjs' : 'arbutushinge.cjs';
if (isAgent) {
	setFlagsFromString(agentV8Flags);
}

function readIfPresent(file: string): Uint8Array | undefined {
	try {
		return readFileSync(file);
	} catch {
		// Without a code cache the program starts more slowly, but works.
		return undefined;
	}
}

const load = createRequire(isSea() ? process.execPath : process.argv[1] ?? process.execPath);
const file = path.resolve(path.dirname(process.argv[1] ?? ''), program);
compileProgram(isSea()
	? {file: program, source: getAsset(program, 'utf8')}
	: {file, source: readFileSync(file, 'utf8'), codeCache: readIfPresent(codeCachePathOf(file))}).run(load);
